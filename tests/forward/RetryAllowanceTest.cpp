#include "forward/RetryAllowance.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::seconds;

TEST_GROUP(RetryAllowance)
{
    MonotonicTime now_{seconds(100)};
    PoolName service_{"s"};
    RetryAllowance allowance_{RetryLimits{0.2, 10, seconds(10), 2}};

    auto taken(int tries)->int
    {
        auto count = 0;
        for (auto i = 0; i < tries; ++i)
            count += allowance_.take(service_, now_) ? 1 : 0;
        return count;
    }
};

TEST(RetryAllowance, noRequests_take_allowsThisEntrysPartOfTheExtra)
{
    LONGS_EQUAL(4, taken(20));
}

TEST(RetryAllowance, requestsInTheWindow_take_allowsTheirShare)
{
    for (auto i = 0; i < 50; ++i)
        allowance_.noteRequest(service_, now_);
    LONGS_EQUAL(12, taken(40));
}

TEST(RetryAllowance, theWindowHasPassed_take_allowsAnew)
{
    LONGS_EQUAL(4, taken(20));
    now_ += seconds(11);
    LONGS_EQUAL(4, taken(20));
}
