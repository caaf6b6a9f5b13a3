#include "base/RankedMutex.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(RankedMutex){};

TEST(RankedMutex, risingRanks_taken_work)
{
    auto control = RankedMutex(LockRank::Control);
    auto routing = RankedMutex(LockRank::Routing);
    const auto outer = std::scoped_lock(control);
    const auto inner = std::scoped_lock(routing);
}

TEST(RankedMutex, aRankTakenOnAnotherThread_doesNotCountHere)
{
    auto routing = RankedMutex(LockRank::Routing);
    auto control = RankedMutex(LockRank::Control);
    const auto outer = std::scoped_lock(routing);
    std::thread([&] { const auto lock = std::scoped_lock(control); }).join();
}
