#include "forward/DemandMeter.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(DemandMeter)
{
    DemandMeter meter_;
    MonotonicTime now_{seconds(100)};
    PoolName pool_{"large"};

    /// Records a request of \a groupSeconds for pool_ every 100 ms for \a duration.
    auto sendRequests(double groupSeconds, Duration duration)->void
    {
        for (const auto end = now_ + duration; now_ < end; now_ += milliseconds(100))
            meter_.addWork(pool_, groupSeconds, now_);
    }

    auto demandInGroups()->double
    {
        const auto demand = meter_.demand(now_);
        return demand.empty() ? 0 : demand.front().groups_;
    }
};

TEST(DemandMeter, requestsHaveJustBegun_demand_isEmpty)
{
    sendRequests(0.1, seconds(1));
    CHECK(meter_.demand(now_).empty());
}

TEST(DemandMeter, steadyRequests_demand_isTheirWorkPerSecond)
{
    sendRequests(0.1, seconds(3));
    DOUBLES_EQUAL(1.0, demandInGroups(), 0.1);
    sendRequests(0.1, seconds(20));
    DOUBLES_EQUAL(1.0, demandInGroups(), 0.1);
}

/// Traffic pattern: the work requested from one pool jumps for a few seconds.
TEST(DemandMeter, theWorkDoubles_demand_followsWithinSeconds)
{
    sendRequests(0.1, seconds(20));
    sendRequests(0.2, seconds(6));
    CHECK(demandInGroups() > 1.6);
}

TEST(DemandMeter, requestsEnd_demand_fallsToZero)
{
    sendRequests(0.1, seconds(20));
    now_ += seconds(40);
    CHECK(demandInGroups() < 0.01);
}
