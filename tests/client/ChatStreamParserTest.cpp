#include "client/ChatStreamParser.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(ChatStreamParser)
{
    std::string text_;
    ChatStreamParser stream_ = ChatStreamParser([this](const std::string &part) { text_ += part; });
};

TEST(ChatStreamParser, bytesFedOneByOne_parsed_giveTheWholeText)
{
    const auto bytes
        = std::string("id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"Hi\"}}]}\n\n"
                      "data: [DONE]\n\n");
    for (const auto byte : bytes)
        stream_.feed(std::string(1, byte));
    STRCMP_EQUAL("Hi", text_.c_str());
    CHECK(stream_.isComplete());
}

TEST(ChatStreamParser, aStreamWithoutEndMarker_fed_isNotComplete)
{
    stream_.feed("data: {\"choices\":[{\"delta\":{\"content\":\"Hi\"}}]}\n\n");
    CHECK(stream_.hasText());
    CHECK(!stream_.isComplete());
}

TEST(ChatStreamParser, anErrorEvent_fed_givesProblemDocumentAndNoText)
{
    stream_.feed("event: error\ndata: {\"title\":\"lost\"}\n\n");
    CHECK(!stream_.hasText());
    STRCMP_EQUAL("{\"title\":\"lost\"}", stream_.problemDocument().c_str());
}
