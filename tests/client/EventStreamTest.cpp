#include "client/EventStream.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(EventStream)
{
    std::string text_;
    EventStream stream_ = EventStream([this](const std::string &part) { text_ += part; });
};

TEST(EventStream, partsCutAnywhere_fed_giveTheWholeText)
{
    const auto bytes
        = std::string("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"Hi\"}}]}\n\n"
                      "data: [DONE]\n\n");
    for (const auto byte : bytes)
        stream_.feed(std::string(1, byte));
    STRCMP_EQUAL("Hi", text_.c_str());
    CHECK(stream_.isWhole());
}

TEST(EventStream, aStreamWithoutItsEndMark_isNotWhole)
{
    stream_.feed("data: {\"choices\":[{\"delta\":{\"content\":\"Hi\"}}]}\n\n");
    CHECK(stream_.hasText());
    CHECK(!stream_.isWhole());
}

TEST(EventStream, anErrorEvent_fed_isNoText)
{
    stream_.feed("event: error\ndata: {\"title\":\"lost\"}\n\n");
    CHECK(!stream_.hasText());
    STRCMP_EQUAL("{\"title\":\"lost\"}", stream_.problem().c_str());
}
