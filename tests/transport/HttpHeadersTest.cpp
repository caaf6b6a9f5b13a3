#include "transport/HttpHeaders.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(HttpHeaders)
{
    HttpHeaders headers_ = HttpHeaders{{"X-Workspace", "valle"}, {"X-Workspace", "otro"}};
};

TEST(HttpHeaders, aNameInOtherCase_find_givesTheFirst)
{
    CHECK(headers_.find("x-workspace") == "valle");
}

TEST(HttpHeaders, aMissingName_value_givesTheFallback)
{
    CHECK(headers_.value("X-Priority", "5") == "5");
    CHECK(!headers_.find("X-Work"));
}
