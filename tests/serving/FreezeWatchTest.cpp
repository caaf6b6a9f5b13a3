#include "serving/FreezeWatch.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(FreezeWatch)
{
    FreezeWatch watch_;
    MonotonicTime now_{seconds(100)};

    auto tickAfter(Duration time)->bool
    {
        now_ += time;
        return watch_.tick(now_);
    }
};

TEST(FreezeWatch, regularTicks_tick_allowsEach)
{
    CHECK_TRUE(tickAfter(milliseconds(0)));
    CHECK_TRUE(tickAfter(milliseconds(100)));
    CHECK_TRUE(tickAfter(milliseconds(400)));
}

TEST(FreezeWatch, aLongGap_tick_waitsForTheMessages)
{
    CHECK_TRUE(tickAfter(milliseconds(0)));
    CHECK_FALSE(tickAfter(seconds(60)));
    CHECK_FALSE(tickAfter(milliseconds(100)));
    CHECK_TRUE(tickAfter(milliseconds(200)));
}

TEST(FreezeWatch, aSecondGapWhileItCatchesUp_tick_waitsAnew)
{
    CHECK_TRUE(tickAfter(milliseconds(0)));
    CHECK_FALSE(tickAfter(seconds(60)));
    CHECK_FALSE(tickAfter(seconds(60)));
    CHECK_FALSE(tickAfter(milliseconds(200)));
    CHECK_TRUE(tickAfter(milliseconds(100)));
}
