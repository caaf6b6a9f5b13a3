#include "forward/ForwardRetryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::seconds;

TEST_GROUP(ForwardRetryBudget)
{
    MonotonicTime now_{seconds(100)};
    PoolName service_{"s"};
    ForwardRetryBudget budget_{RetryLimits{0.2, 10, seconds(10), 2}};

    auto allowedRetries(int tries)->int
    {
        auto count = 0;
        for (auto i = 0; i < tries; ++i)
            count += budget_.tryTake(service_, now_) ? 1 : 0;
        return count;
    }
};

TEST(ForwardRetryBudget, noRequests_tryTake_allowsThisEntrysShareOfTheExtraRetries)
{
    LONGS_EQUAL(4, allowedRetries(20));
}

TEST(ForwardRetryBudget, requestsInTheWindow_tryTake_allowsTheirShare)
{
    for (auto i = 0; i < 50; ++i)
        budget_.recordRequest(service_, now_);
    LONGS_EQUAL(12, allowedRetries(40));
}

TEST(ForwardRetryBudget, theWindowHasPassed_tryTake_allowsAnew)
{
    LONGS_EQUAL(4, allowedRetries(20));
    now_ += seconds(11);
    LONGS_EQUAL(4, allowedRetries(20));
}
