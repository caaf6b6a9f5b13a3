#include "transport/HttpAnswerReader.h"

#include "transport/AnswerSample.h"
#include "transport/ReadAnswer.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(HttpAnswerReader){
    auto checkAllRefused(const std::vector<AnswerSample> &samples)
        ->void{for (const auto &sample
                    : samples)
                   CHECK_FALSE_TEXT(readAnswer(sample.bytes_).has_value(), sample.name_.c_str());
}
}
;

TEST(HttpAnswerReader, soundAnswers_readInPartsOfAnySize_areWhole)
{
    constexpr auto wholeBody = std::size_t{1} << 20;
    for (const auto &sample : soundAnswers()) {
        for (const auto partBytes : {std::size_t{1}, std::size_t{2}, std::size_t{7}, wholeBody}) {
            const auto answer = readAnswer(sample.bytes_, false, partBytes);
            CHECK_TEXT(answer.has_value(), sample.name_.c_str());
            LONGS_EQUAL_TEXT(sample.status_, answer->status_, sample.name_.c_str());
            CHECK_TEXT(sample.body_ == answer->body_, sample.name_.c_str());
        }
    }
}

/// Guards against bytes without a status that pass for an answer.
TEST(HttpAnswerReader, malformedStatusLines_read_areNoAnswers)
{
    checkAllRefused(malformedStatusLines());
}

/// Guards against heads of which libcurl and the caller see different fields.
TEST(HttpAnswerReader, malformedFields_read_areNoAnswers)
{
    checkAllRefused(malformedFields());
}

/// Guards against a part of a body, or more than it, that passes for the body.
TEST(HttpAnswerReader, malformedFramings_read_areNoAnswers)
{
    checkAllRefused(malformedFramings());
}

TEST(HttpAnswerReader, anAnswerWithALength_cutAtAnyByte_isNotWhole)
{
    const auto bytes = std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnine char");
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(readAnswer(bytes.substr(0, length)).has_value());
    CHECK(readAnswer(bytes).has_value());
}

TEST(HttpAnswerReader, anAnswerInChunks_cutAtAnyByte_isNotWhole)
{
    const auto bytes = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                   "4;a=b\r\nnine\r\n0\r\nX-Sum: 1\r\n\r\n");
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(readAnswer(bytes.substr(0, length)).has_value());
    CHECK(readAnswer(bytes).has_value());
}

TEST(HttpAnswerReader, theAnswerToHead_withALength_isWholeWithoutABody)
{
    const auto answer = readAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", true);
    CHECK(answer.has_value());
    CHECK(answer->body_.empty());
}

TEST(HttpAnswerReader, bytesBehindTheEnd_read_areExcess)
{
    auto reader = HttpAnswerReader(false);
    CHECK(reader.takeHeadLine("HTTP/1.1 200 OK\r\n"));
    CHECK(reader.takeHeadLine("Content-Length: 4\r\n"));
    CHECK(reader.takeHeadLine("\r\n"));
    CHECK(reader.takeBody("nine", [](std::string_view) {}));
    CHECK(reader.isWhole());
    CHECK_FALSE(reader.hasExcess());
    CHECK(reader.takeBody("x", [](std::string_view) { FAIL("passed on"); }));
    CHECK(reader.hasExcess());
}

/// Guards against memory that a line without an end uses up.
TEST(HttpAnswerReader, aChunkLineWithoutEnd_read_isMalformed)
{
    const auto start = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    CHECK_FALSE(readAnswer(start + "9;" + std::string(1 << 20, 'x')).has_value());
    auto trailer = std::string{};
    while (trailer.size() < 1 << 17)
        trailer += "X-More: more\r\n";
    CHECK_FALSE(readAnswer(start + "0\r\n" + trailer + "\r\n").has_value());
}
