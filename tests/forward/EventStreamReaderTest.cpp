#include "forward/EventStreamReader.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(EventStreamReader){};

TEST(EventStreamReader, anEventInTwoParts_take_returnsItWhenItIsWhole)
{
    auto reader = EventStreamReader(std::nullopt);
    CHECK(reader.take("id: 1\ndata: a").empty());
    CHECK_FALSE(reader.isBetweenEvents());
    CHECK(reader.take("\n\n") == "id: 1\ndata: a\n\n");
    CHECK(reader.isBetweenEvents());
    CHECK(reader.lastEventId() == 1);
}

TEST(EventStreamReader, anEventThatWasDelivered_takeInAnotherRun_leavesItOut)
{
    auto reader = EventStreamReader(std::nullopt);
    CHECK(reader.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    reader.beginRun();
    CHECK(reader.take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(reader.lastEventId() == 2);
}

TEST(EventStreamReader, aResumedStream_take_beginsBehindTheCallersLastEvent)
{
    auto reader = EventStreamReader(7);
    CHECK(reader.take("id: 7\ndata: old\n\nid: 8\ndata: new\n\n") == "id: 8\ndata: new\n\n");
}

TEST(EventStreamReader, anEventWithoutId_take_isNoted)
{
    auto reader = EventStreamReader(std::nullopt);
    reader.take("data: a\n\n");
    CHECK(reader.hasUnnumbered());
}
