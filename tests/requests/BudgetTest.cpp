#include "requests/BudgetClient.h"
#include "requests/BudgetOwner.h"
#include "requests/EqualShareBudget.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

constexpr auto limits = BudgetLimits{10, 20};

auto budgetTake(std::uint32_t count, std::uint32_t unused = 0) -> BudgetTakeRequest
{
    return {WorkspaceName("w"), limits, count, unused};
}

} // namespace

TEST_GROUP(TokenBucket)
{
    MonotonicTime now_ = MonotonicTime(1h);
    TokenBucket bucket_;
};

TEST(TokenBucket, aNewBucket_tryTake_findsItFull)
{
    CHECK(bucket_.tryTake(20, limits, now_));
    CHECK(!bucket_.tryTake(1, limits, now_));
}

TEST(TokenBucket, aFailedTake_nextTake_hasLostNoTokens)
{
    bucket_.tryTake(20, limits, now_);
    for (auto i = 1; i < 10; ++i)
        CHECK(!bucket_.tryTake(1, limits, now_ + i * 10ms));
    CHECK(bucket_.tryTake(1, limits, now_ + 101ms));
}

TEST(TokenBucket, aClockStepBack_tryTake_addsNoTokens)
{
    bucket_.tryTake(19, limits, now_);
    CHECK(bucket_.tryTake(1, limits, now_ - 1h));
    CHECK(!bucket_.tryTake(1, limits, now_ - 1h));
    CHECK(bucket_.tryTake(1, limits, now_ + 150ms));
    CHECK(!bucket_.tryTake(1, limits, now_ + 10ms));
    CHECK(!bucket_.tryTake(1, limits, now_ + 160ms));
}

TEST(TokenBucket, aCostAboveTheBurst_tryTake_fails)
{
    CHECK(!bucket_.tryTake(21, limits, now_));
    CHECK(bucket_.tryTake(20, limits, now_));
}

TEST(TokenBucket, changedLimits_tryTake_applyAtOnce)
{
    CHECK(bucket_.tryTake(15, limits, now_));
    CHECK(!bucket_.tryTake(6, {10, 5}, now_ + 1h));
    CHECK(bucket_.tryTake(5, {10, 5}, now_ + 1h));
}

TEST_GROUP(BudgetOwner)
{
    MonotonicTime now_ = MonotonicTime(1h);
    BudgetOwner owner_;
};

TEST(BudgetOwner, aTakeOfTooManyRequests_grant_isPartial)
{
    CHECK_EQUAL(15U, owner_.grant(budgetTake(15), now_).granted_);
    CHECK_EQUAL(5U, owner_.grant(budgetTake(15), now_).granted_);
    const auto refused = owner_.grant(budgetTake(1), now_);
    CHECK_EQUAL(0U, refused.granted_);
    CHECK_EQUAL(100, refused.retryAfterMs_);
    CHECK_EQUAL(3U, owner_.grant(budgetTake(4, 3), now_).granted_);
    owner_.removeIdle(now_ + 1s);
    CHECK_EQUAL(0U, owner_.size());
}

TEST(BudgetOwner, anEntryLeaves_budgetOwnerOf_movesOnlyItsWorkspaces)
{
    auto entries = std::vector<EntryId>{};
    for (auto i = 0; i < 9; ++i)
        entries.emplace_back("entry-" + std::to_string(i));
    const auto fewer = std::vector<EntryId>(entries.begin(), entries.end() - 1);
    auto owners = std::set<EntryId>{};
    for (auto i = 0; i < 200; ++i) {
        const auto workspace = WorkspaceName("workspace-" + std::to_string(i));
        const auto owner = *budgetOwnerOf(workspace, entries);
        owners.insert(owner);
        CHECK(owner == entries.back() || owner == *budgetOwnerOf(workspace, fewer));
    }
    CHECK_EQUAL(9U, owners.size());
    CHECK(!budgetOwnerOf(WorkspaceName("w"), {}));
}

TEST_GROUP(BudgetClient)
{
    MonotonicTime now_ = MonotonicTime(1h);
    BudgetOwner owner_;
    BudgetClient client_ = BudgetClient(WorkspaceName("w"), {100, 200}, 4);
    int messageCount_ = 0;

    auto isAdmitted(bool reachable = true)->bool
    {
        auto admission = client_.admit(now_);
        if (admission != BudgetAdmission::AskOwner)
            return admission == BudgetAdmission::Admit;
        ++messageCount_;
        if (!reachable)
            return client_.handleOwnerTimeout(now_) == BudgetAdmission::Admit;
        return client_.handleGrant(owner_.grant(client_.createTakeRequest(now_), now_), now_)
            == BudgetAdmission::Admit;
    }

    auto admittedDuring(Duration time, Duration interval, bool reachable = true)->int
    {
        auto count = 0;
        for (const auto end = now_ + time; now_ < end; now_ += interval)
            count += isAdmitted(reachable) ? 1 : 0;
        return count;
    }
};

TEST(BudgetClient, trafficBeyondTheBudget_admitted_isTheBudget)
{
    const auto count = admittedDuring(10s, 1ms);
    CHECK(count > 1150 && count <= 1201);
    CHECK(messageCount_ < 1000);
}

TEST(BudgetClient, trafficWithinTheBudget_admitted_isAllWithFewerMessages)
{
    CHECK_EQUAL(500, admittedDuring(10s, 20ms));
    CHECK(messageCount_ < 200);
}

TEST(BudgetClient, anUnreachableOwner_admitted_isTheEqualShare)
{
    const auto count = admittedDuring(10s, 1ms, false);
    CHECK(count > 280 && count <= 301);
    now_ += 2s;
    CHECK(isAdmitted());
}

TEST(BudgetClient, aRefusal_retryAfter_isPositiveAndBounded)
{
    admittedDuring(5s, 1ms);
    while (client_.admit(now_) == BudgetAdmission::Admit)
        now_ += 1us;
    CHECK(client_.retryAfter(now_) > 0ms && client_.retryAfter(now_) <= 200ms);
}
