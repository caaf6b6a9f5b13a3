#include "forward/EventStreamReader.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(EventStreamReader){};

TEST(EventStreamReader, anEventInTwoParts_feed_returnsItWhenItIsWhole)
{
    auto reader = EventStreamReader(std::nullopt);
    CHECK(reader.feed("id: 1\ndata: a").empty());
    CHECK_FALSE(reader.isAtEventBoundary());
    CHECK(reader.feed("\n\n") == "id: 1\ndata: a\n\n");
    CHECK(reader.isAtEventBoundary());
    CHECK(reader.lastEventId() == 1);
}

TEST(EventStreamReader, anEventThatWasDelivered_feedInAnotherAttempt_skipsIt)
{
    auto reader = EventStreamReader(std::nullopt);
    CHECK(reader.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    reader.beginAttempt();
    CHECK(reader.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(reader.lastEventId() == 2);
}

TEST(EventStreamReader, aResumedStream_feed_beginsAfterTheCallersLastEvent)
{
    auto reader = EventStreamReader(7);
    CHECK(reader.feed("id: 7\ndata: old\n\nid: 8\ndata: new\n\n") == "id: 8\ndata: new\n\n");
}

TEST(EventStreamReader, anEventWithoutId_feed_isRecorded)
{
    auto reader = EventStreamReader(std::nullopt);
    reader.feed("data: a\n\n");
    CHECK(reader.hasEventWithoutId());
}
