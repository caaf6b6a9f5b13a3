#include "settings/JsonLocator.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(JsonLocator)
{
    JsonLocator locator_ = JsonLocator(R"({
  // a comment
  "first": 1,
  "list": [
    {"inner": true,
     "last": 2
    },
    3
  ],
  "first": 4
})");
};

TEST(JsonLocator, aKeyBehindAComment_located_hasItsLine)
{
    LONGS_EQUAL(3, locator_.lineOf("/first"));
}

TEST(JsonLocator, keysOfAnElement_located_haveTheirLines)
{
    LONGS_EQUAL(5, locator_.lineOf("/list/0"));
    LONGS_EQUAL(6, locator_.lineOf("/list/0/last"));
    LONGS_EQUAL(8, locator_.lineOf("/list/1"));
}

TEST(JsonLocator, aMissingKey_located_hasTheLineOfItsObject)
{
    LONGS_EQUAL(5, locator_.lineOf("/list/0/missing"));
    LONGS_EQUAL(1, locator_.lineOf("/missing"));
}

TEST(JsonLocator, aKeyThatIsThereTwice_isReported)
{
    LONGS_EQUAL(1, locator_.repeatedKeys().size());
    STRCMP_EQUAL("/first", locator_.repeatedKeys().front().c_str());
}
