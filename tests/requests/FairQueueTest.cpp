#include "requests/FairQueue.h"

#include "requests/RetryBudget.h"

#include <map>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(FairQueue)
{
    MonotonicTime now_ = MonotonicTime(1h);
    FairQueue queue_ = FairQueue(100, 10s);
    int lastRequestNumber_ = 0;

    auto item(const char *workspace, std::uint32_t weight = 1, std::uint32_t priority = 5,
              Duration allowed = 1h)
        ->QueueItem
    {
        return {RequestId(std::to_string(++lastRequestNumber_)), WorkspaceName(workspace), weight,
                priority, now_ + allowed};
    }

    auto popped()->std::string
    {
        const auto next = queue_.pop(now_);
        return next ? next->request_.text() : "";
    }
};

TEST(FairQueue, backlogsOfUnequalWeights_popped_areServedByWeight)
{
    for (auto i = 0; i < 40; ++i) {
        queue_.push(item("heavy", 3), now_);
        queue_.push(item("light", 1), now_);
    }
    auto served = std::map<std::string, int>{};
    for (auto i = 0; i < 40; ++i)
        ++served[queue_.pop(now_)->workspace_.text()];
    CHECK(served["heavy"] >= 29 && served["heavy"] <= 31);
}

TEST(FairQueue, aWorkspaceThatWasIdle_returns_hasNoCredit)
{
    for (auto i = 0; i < 20; ++i)
        queue_.push(item("busy"), now_);
    for (auto i = 0; i < 10; ++i)
        queue_.pop(now_);
    for (auto i = 0; i < 10; ++i)
        queue_.push(item("rested"), now_);
    auto served = std::map<std::string, int>{};
    for (auto i = 0; i < 10; ++i)
        ++served[queue_.pop(now_)->workspace_.text()];
    CHECK(served["rested"] >= 4 && served["rested"] <= 6);
}

TEST(FairQueue, prioritiesOfOneWorkspace_popped_areHigherFirstThenOlder)
{
    queue_.push(item("a", 1, 5), now_);
    queue_.push(item("a", 1, 9), now_);
    queue_.push(item("a", 1, 0), now_);
    queue_.push(item("a", 1, 9), now_);
    for (const auto *expected : {"2", "4", "1", "3", ""})
        STRCMP_EQUAL(expected, popped().c_str());
}

TEST(FairQueue, aFullQueue_push_shedsTheLongestBacklog)
{
    queue_.setLimits(4, 10s);
    for (auto i = 0; i < 4; ++i)
        queue_.push(item("greedy", 1, i == 2 ? 1 : 5), now_);
    const auto shed = queue_.push(item("modest"), now_);
    CHECK_EQUAL(1U, shed.size());
    STRCMP_EQUAL("3", shed.front().item_.request_.text().c_str());
    CHECK(shed.front().retryAfter_ > 0ms);
    CHECK_EQUAL(4U, queue_.size());
}

TEST(FairQueue, aWaitBeyondTheDeadline_push_isShedAtOnce)
{
    for (auto i = 0; i < 30; ++i)
        queue_.push(item("a"), now_);
    for (auto i = 0; i < 10; ++i) {
        queue_.pop(now_);
        now_ += 100ms;
    }
    CHECK_EQUAL(1U, queue_.push(item("a", 1, 5, 1s), now_).size());
    CHECK_EQUAL(0U, queue_.push(item("b", 1, 5, 1s), now_).size());
    CHECK(queue_.expectedWait(WorkspaceName("a"), 1) > 1500ms);
}

TEST(FairQueue, lessTimeThanTheRunTime_pop_isNotStarted)
{
    queue_.recordRunTime(500ms);
    CHECK_EQUAL(1U, queue_.push(item("a", 1, 5, 400ms), now_).size());
    queue_.push(item("a", 1, 5, 2s), now_);
    now_ += 1600ms;
    STRCMP_EQUAL("", popped().c_str());
    CHECK_EQUAL(1U, queue_.removeExpired(now_).size());
}

TEST(FairQueue, expiredRequests_pop_areReturnedByExpireOnly)
{
    queue_.push(item("a", 1, 5, 1s), now_);
    queue_.push(item("a", 1, 5, 9s), now_);
    now_ += 2s;
    STRCMP_EQUAL("2", popped().c_str());
    CHECK_EQUAL(1U, queue_.removeExpired(now_).size());
    CHECK_EQUAL(0U, queue_.removeExpired(now_).size());
}

TEST(FairQueue, aDisconnectedCaller_remove_isNotServed)
{
    queue_.push(item("a"), now_);
    CHECK(queue_.remove(RequestId("1")));
    CHECK(!queue_.remove(RequestId("1")));
    STRCMP_EQUAL("", popped().c_str());
}

TEST(FairQueue, randomPushesAndPops_counted_loseNoRequest)
{
    auto random = std::mt19937_64(7);
    auto returnedCount = 0;
    for (auto i = 0; i < 5000; ++i) {
        const auto name = std::string(1, static_cast<char>('a' + random() % 7));
        const auto allowed = std::chrono::milliseconds(random() % 900);
        returnedCount += static_cast<int>(
            queue_.push(item(name.c_str(), 1 + random() % 3, random() % 10, allowed), now_).size());
        now_ += std::chrono::milliseconds(random() % 20);
        if (random() % 2 == 0)
            returnedCount += queue_.pop(now_) ? 1 : 0;
    }
    returnedCount += static_cast<int>(queue_.removeExpired(now_).size() + queue_.size());
    CHECK_EQUAL(lastRequestNumber_, returnedCount);
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, everyAttemptFails_retries_areAShareOfFirstAttempts)
{
    auto budget = RetryBudget(20);
    const auto now = MonotonicTime(1h);
    auto retries = 0;
    for (auto i = 0; i < 1000; ++i) {
        budget.recordFirstAttempt();
        retries += budget.tryTakeRetry(now) ? 1 : 0;
    }
    CHECK(retries >= 200 && retries <= 206);
    CHECK(budget.tryTakeRetry(now + 2s));
}
