#include "base/HybridClock.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(HybridClock)
{
    WallTime wall_ = WallTime(std::chrono::microseconds(100));
    HybridClock clock_ = HybridClock([this] { return wall_; });
};

TEST(HybridClock, aWallClockThatStandsStill_read_stillRises)
{
    const auto first = clock_.now();
    CHECK(first < clock_.now());
}

TEST(HybridClock, aWallClockSetBack_read_stillRises)
{
    const auto first = clock_.now();
    wall_ = WallTime(std::chrono::microseconds(50));
    CHECK(first < clock_.now());
}

TEST(HybridClock, aStampFromAhead_observed_isPassed)
{
    const auto remote = HybridTime{900, 7};
    clock_.observe(remote);
    CHECK(remote < clock_.now());
}
