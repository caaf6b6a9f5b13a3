#include "serving/PauseDetector.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PauseDetector)
{
    PauseDetector detector_;
    MonotonicTime now_{seconds(100)};

    auto tickAfter(Duration time)->bool
    {
        now_ += time;
        return detector_.tick(now_);
    }
};

TEST(PauseDetector, regularTicks_tick_isTrue)
{
    CHECK_TRUE(tickAfter(milliseconds(0)));
    CHECK_TRUE(tickAfter(milliseconds(100)));
    CHECK_TRUE(tickAfter(milliseconds(400)));
}

TEST(PauseDetector, longGap_tick_isFalseUntilMessagesAreProcessed)
{
    CHECK_TRUE(tickAfter(milliseconds(0)));
    CHECK_FALSE(tickAfter(seconds(60)));
    CHECK_FALSE(tickAfter(milliseconds(100)));
    CHECK_TRUE(tickAfter(milliseconds(200)));
}

TEST(PauseDetector, secondGapWhileCatchingUp_tick_waitsAgain)
{
    CHECK_TRUE(tickAfter(milliseconds(0)));
    CHECK_FALSE(tickAfter(seconds(60)));
    CHECK_FALSE(tickAfter(seconds(60)));
    CHECK_FALSE(tickAfter(milliseconds(200)));
    CHECK_TRUE(tickAfter(milliseconds(100)));
}

TEST(PauseDetector, aMessageHandledBeforeTheFirstTickAfterAPause_mayBeLate)
{
    CHECK_TRUE(tickAfter(milliseconds(0)));
    CHECK_FALSE(detector_.mayBeLate(now_ + milliseconds(100)));
    CHECK_TRUE(detector_.mayBeLate(now_ + seconds(60)));
    CHECK_FALSE(tickAfter(seconds(60)));
    CHECK_TRUE(detector_.mayBeLate(now_ + milliseconds(100)));
    CHECK_FALSE(detector_.mayBeLate(now_ + milliseconds(300)));
}
