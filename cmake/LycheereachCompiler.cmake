# Compiler settings of every target: warnings are errors, ccache where it is installed, and
# LYCHEEREACH_SANITIZE (address,undefined or thread) for the sanitizer builds of CI.
set(LYCHEEREACH_SANITIZE "" CACHE STRING "Sanitizers to build with, for example address,undefined")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  # Paths below the root count as relative, so that several work trees share the cache.
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR}
    CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()

add_library(lycheereach_compiler INTERFACE)
target_compile_options(lycheereach_compiler INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wold-style-cast -Woverloaded-virtual -Werror
  -Wno-missing-field-initializers)
if(LYCHEEREACH_SANITIZE)
  add_compile_options(-fsanitize=${LYCHEEREACH_SANITIZE} -fno-omit-frame-pointer
    -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${LYCHEEREACH_SANITIZE})
  if(LYCHEEREACH_SANITIZE MATCHES "thread")
    # ThreadSanitizer does not know the fences of Asio; its queues synchronize by mutexes as well.
    add_compile_definitions(ASIO_DISABLE_FENCED_BLOCK)
  endif()
endif()
