#include "timeline/Timeline.h"
#include "timeline/EventFilter.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

auto eventAt(std::int64_t microseconds, std::uint32_t counter, const std::string &process)
    -> RecordedEvent
{
    return RecordedEvent{{microseconds, counter}, process, "LR-1701", "request-received", {}};
}

} // namespace

TEST_GROUP(Timeline){};

TEST(Timeline, eventsOfTwoProcesses_merged_areOrderedByTimeThenProcess)
{
    const auto merged = mergeTimelines(
        {{eventAt(5, 0, "b"), eventAt(9, 0, "b")}, {eventAt(5, 0, "a"), eventAt(5, 1, "a")}});
    LONGS_EQUAL(4, merged.size());
    CHECK(merged[0] == eventAt(5, 0, "a"));
    CHECK(merged[1] == eventAt(5, 0, "b"));
    CHECK(merged[2] == eventAt(5, 1, "a"));
}

TEST(Timeline, anEventCollectedTwice_merged_isThereOnce)
{
    LONGS_EQUAL(1, mergeTimelines({{eventAt(5, 0, "a")}, {eventAt(5, 0, "a")}}).size());
}

TEST(Timeline, anEvent_rendered_isOneLineWithStableColumns)
{
    auto event = eventAt(1'000'000'000'123'456, 7, "e1");
    event.attributes_ = {{"request", "r-1"}, {"reason", "no room\nleft"}};
    STRCMP_EQUAL("2001-09-09T01:46:40.123456Z+007  e1            LR-1701  request-received"
                 "        reason=\"no room\\nleft\"  request=r-1",
                 renderEvent(event).c_str());
}

TEST(Timeline, aFilter_matched_acceptsOnlyEventsMeetingAllConditions)
{
    auto event = eventAt(100, 0, "e1");
    event.attributes_ = {{"request", "r-1"}, {"group", "g-1"}};
    CHECK(matches({}, event));
    CHECK(matches({"r-1", "g-1", std::nullopt, 100}, event));
    CHECK(!matches({"r-2", std::nullopt, std::nullopt, std::nullopt}, event));
    CHECK(!matches({std::nullopt, std::nullopt, "u-1", std::nullopt}, event));
    CHECK(!matches({std::nullopt, std::nullopt, std::nullopt, 101}, event));
}
