#include "base/Compression.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(Compression){};

TEST(Compression, aLongText_packedAndUnpacked_isTheSameAndWasShorter)
{
    auto text = std::string{};
    for (auto number = 0; number < 2000; ++number)
        text += "{\"route\":" + std::to_string(number) + "}";
    const auto packed = packText(text);
    CHECK(packed.size() < text.size() / 2);
    CHECK(unpackText(packed).value() == text);
}

TEST(Compression, aShortText_pack_leavesItAsItIs)
{
    CHECK(packText("{}") == "{}");
    CHECK(unpackText("{}").value() == "{}");
}

TEST(Compression, damagedTexts_unpack_areRefused)
{
    const auto packed = packText(std::string(5000, 'x'));
    CHECK_FALSE(unpackText(packed.substr(0, packed.size() / 2)).ok());
    CHECK_FALSE(unpackText("z:10").ok());
    CHECK_FALSE(unpackText("z:99999999999999:AAAA").ok());
    CHECK_FALSE(unpackText("z:4:!!!!").ok());
}
