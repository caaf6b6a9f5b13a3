# lycheereach_package(NAME SOURCES ... DEPENDS ... [PRIVATE_DEPENDS ...])
# One small library of the workspace; its headers are included as "NAME/Header.h".
function(lycheereach_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(lycheereach_${name} STATIC ${ARG_SOURCES})
  add_library(lycheereach::${name} ALIAS lycheereach_${name})
  target_include_directories(lycheereach_${name} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
  target_link_libraries(lycheereach_${name}
    PUBLIC ${ARG_DEPENDS}
    PRIVATE lycheereach_compiler ${ARG_PRIVATE_DEPENDS})
endfunction()

# lycheereach_test(NAME SOURCES ... DEPENDS ... [LABELS ...])
# One CppUTest program; every TEST_GROUP in its sources becomes one test of ctest.
function(lycheereach_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;LABELS" ${ARGN})
  set(target test_${name})
  add_executable(${target} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/main.cpp)
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${target} PRIVATE lycheereach_compiler ${ARG_DEPENDS} PkgConfig::CPPUTEST
    Threads::Threads)
  foreach(source ${ARG_SOURCES})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
    file(STRINGS ${source} groups REGEX "^TEST_GROUP(_BASE)?\\(")
    foreach(line ${groups})
      string(REGEX REPLACE "^TEST_GROUP(_BASE)?\\(([A-Za-z0-9_]+).*" "\\2" group "${line}")
      add_test(NAME ${name}.${group} COMMAND ${target} -sg ${group})
      set_tests_properties(${name}.${group} PROPERTIES TIMEOUT 900 LABELS "unit;${ARG_LABELS}")
    endforeach()
  endforeach()
endfunction()
