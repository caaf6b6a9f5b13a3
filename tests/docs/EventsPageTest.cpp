#include "base/EventCatalogue.h"

#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

auto sectionsOfPage() -> std::string
{
    auto page = std::ifstream(LYCHEEREACH_DOCS "/EVENTS.md");
    auto sections = std::string{};
    for (auto line = std::string{}; std::getline(page, line);) {
        if (line.starts_with("## "))
            sections += line + "\n";
    }
    return sections;
}

} // namespace

TEST_GROUP(EventsPage){};

TEST(EventsPage, theSections_areThoseOfTheCatalogueInItsOrder)
{
    auto expected = std::string{};
    for (const auto &entry : eventCatalogue())
        expected += "## " + printedNumber(entry.number_) + " " + entry.name_ + "\n";
    STRCMP_EQUAL_TEXT(
        expected.c_str(), sectionsOfPage().c_str(),
        "docs/EVENTS.md and base/EventCatalogue.cpp differ; add or remove the section");
}
