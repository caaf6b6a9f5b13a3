#include "base/JsonCodec.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

struct Port
{
    std::uint16_t number_ = 0;
    std::optional<std::string> label_;
    std::vector<int> weights_;

    auto operator==(const Port &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &Port::number_), field("label", &Port::label_),
                          optionalField("weights", &Port::weights_)};
    }
};

/// An array in an array and so on, \a depth in all.
auto nestedArrays(std::size_t depth) -> std::string
{
    return std::string(depth, '[') + std::string(depth, ']');
}

auto messageOf(const std::string &text) -> std::string
{
    const auto result = decodeText<Port>(text, "port.json");
    return result ? std::string() : result.failure().message_;
}

} // namespace

TEST_GROUP(JsonCodec){};

TEST(JsonCodec, aValue_writtenAndRead_isTheSame)
{
    const auto port = Port{8080, "web", {1, 2}};
    const auto result = decode<Port>(encode(port));
    CHECK(result.ok());
    CHECK(*result == port);
}

TEST(JsonCodec, comments_read_areSkipped)
{
    CHECK(decodeText<Port>("{\"number\": 1 /* one */} // end", "port.json").ok());
}

/// Guards against a short text whose values take many times its memory.
TEST(JsonCodec, moreValuesThanTheLimit_read_isRefused)
{
    CHECK(!parseBoundedJson("[{},1,null]", 4).is_discarded());
    CHECK(parseBoundedJson("[{},1,null]", 3).is_discarded());
    CHECK(parseBoundedJson(R"({"a": "b", "c": [true]})", 3).is_discarded());
    const auto result = parseJson("[1, 2.5, -1]", "list", 3);
    STRCMP_EQUAL("list: nests more deeply than 128 arrays and objects, or holds more than 3 values",
                 result.failure().message_.c_str());
}

TEST(JsonCodec, aMissingKey_read_isNamed)
{
    STRCMP_EQUAL("port.json: /number: is missing; add this key", messageOf("{}").c_str());
}

TEST(JsonCodec, anUnknownKey_read_isNamedWithTheKnownOnes)
{
    STRCMP_EQUAL("port.json: /size: unknown key; known here: number, label, weights",
                 messageOf(R"({"number": 1, "size": 2})").c_str());
}

TEST(JsonCodec, aNumberTooLarge_read_isRefused)
{
    STRCMP_EQUAL("port.json: /number: the number 70000 is out of range",
                 messageOf(R"({"number": 70000})").c_str());
}

TEST(JsonCodec, aWrongTypeInAnArray_read_isNamedByItsPosition)
{
    STRCMP_EQUAL("port.json: /weights/1: expected a whole number, found string",
                 messageOf(R"({"number": 1, "weights": [1, "2"]})").c_str());
}

TEST(JsonCodec, brokenText_read_namesTheLine)
{
    STRCMP_CONTAINS("port.json:2: not valid JSON", messageOf("{\n \"number\" 1}").c_str());
}

// Guards against the end of a process whose stack overflows when a text that nests very deeply is
// copied.
TEST(JsonCodec, textNestedVeryDeeply_parse_isRefused)
{
    const auto text = nestedArrays(100'000);
    CHECK(Json(parseBoundedJson(text)).is_discarded());
    STRCMP_CONTAINS("port.json: nests more deeply than 128 arrays and objects",
                    messageOf(text).c_str());
}

TEST(JsonCodec, textNestedToLimit_parse_isTaken)
{
    CHECK(parseBoundedJson(nestedArrays(jsonDepthLimit)).is_array());
    CHECK(parseBoundedJson(nestedArrays(jsonDepthLimit + 1)).is_discarded());
    CHECK(parseJson(nestedArrays(jsonDepthLimit), "text").ok());
}

// Guards against a stack that overflows in whatever handles the value before its type is checked.
TEST(JsonCodec, fieldNestedVeryDeeply_read_isRefused)
{
    CHECK_FALSE(messageOf(R"({"number": 1, "label": )" + nestedArrays(100'000) + "}").empty());
}

TEST(JsonCodec, numberBeyondDouble_parse_isRefused)
{
    CHECK(parseBoundedJson("1e999").is_discarded());
    STRCMP_CONTAINS("out of range", messageOf(R"({"number": 1e999})").c_str());
}
