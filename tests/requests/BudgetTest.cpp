#include "requests/BudgetGate.h"
#include "requests/BudgetOwner.h"
#include "requests/EqualShares.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

constexpr auto numbers = BudgetNumbers{10, 20};

auto take(std::uint32_t count, std::uint32_t unused = 0) -> BudgetTake
{
    return {WorkspaceName("w"), numbers, count, unused};
}

} // namespace

TEST_GROUP(TokenBucket)
{
    MonotonicTime now_ = MonotonicTime(1h);
    TokenBucket bucket_;
};

TEST(TokenBucket, aNewBucket_take_findsItFull)
{
    CHECK(bucket_.tryTake(20, numbers, now_));
    CHECK(!bucket_.tryTake(1, numbers, now_));
}

TEST(TokenBucket, aRefusal_afterwards_hasCostNothing)
{
    bucket_.tryTake(20, numbers, now_);
    for (auto i = 1; i < 10; ++i)
        CHECK(!bucket_.tryTake(1, numbers, now_ + i * 10ms));
    CHECK(bucket_.tryTake(1, numbers, now_ + 101ms));
}

TEST(TokenBucket, aClockThatStepsBack_take_addsNothing)
{
    bucket_.tryTake(19, numbers, now_);
    CHECK(bucket_.tryTake(1, numbers, now_ - 1h));
    CHECK(!bucket_.tryTake(1, numbers, now_ - 1h));
    CHECK(bucket_.tryTake(1, numbers, now_ + 150ms));
    CHECK(!bucket_.tryTake(1, numbers, now_ + 10ms));
    CHECK(!bucket_.tryTake(1, numbers, now_ + 160ms));
}

TEST(TokenBucket, aCostAboveTheBurst_take_isRefused)
{
    CHECK(!bucket_.tryTake(21, numbers, now_));
    CHECK(bucket_.tryTake(20, numbers, now_));
}

TEST(TokenBucket, otherNumbers_take_holdAtOnce)
{
    CHECK(bucket_.tryTake(15, numbers, now_));
    CHECK(!bucket_.tryTake(6, {10, 5}, now_ + 1h));
    CHECK(bucket_.tryTake(5, {10, 5}, now_ + 1h));
}

TEST_GROUP(BudgetOwner)
{
    MonotonicTime now_ = MonotonicTime(1h);
    BudgetOwner owner_;
};

TEST(BudgetOwner, aTakeBeyondTheLevel_grant_isPartOfIt)
{
    CHECK_EQUAL(15U, owner_.grant(take(15), now_).granted_);
    CHECK_EQUAL(5U, owner_.grant(take(15), now_).granted_);
    const auto refused = owner_.grant(take(1), now_);
    CHECK_EQUAL(0U, refused.granted_);
    CHECK_EQUAL(100, refused.retryAfterMs_);
    CHECK_EQUAL(3U, owner_.grant(take(4, 3), now_).granted_);
    owner_.forgetIdle(now_ + 1s);
    CHECK_EQUAL(0U, owner_.size());
}

TEST(BudgetOwner, anEntryLeaves_ownerOf_movesOnlyItsBuckets)
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

TEST_GROUP(BudgetGate)
{
    MonotonicTime now_ = MonotonicTime(1h);
    BudgetOwner owner_;
    BudgetGate gate_ = BudgetGate(WorkspaceName("w"), {100, 200}, 4);
    int messages_ = 0;

    auto admitted(bool reachable = true)->bool
    {
        auto admission = gate_.admit(now_);
        if (admission != Admission::AskOwner)
            return admission == Admission::Admit;
        ++messages_;
        if (!reachable)
            return gate_.ownerUnreachable(now_) == Admission::Admit;
        return gate_.granted(owner_.grant(gate_.nextTake(now_), now_), now_) == Admission::Admit;
    }

    auto admittedIn(Duration time, Duration every, bool reachable = true)->int
    {
        auto count = 0;
        for (const auto end = now_ + time; now_ < end; now_ += every)
            count += admitted(reachable) ? 1 : 0;
        return count;
    }
};

TEST(BudgetGate, trafficBeyondTheBudget_admitted_isTheBudget)
{
    const auto count = admittedIn(10s, 1ms);
    CHECK(count > 1150 && count <= 1201);
    CHECK(messages_ < 1000);
}

TEST(BudgetGate, trafficWithinTheBudget_admitted_isAllWithFewerMessages)
{
    CHECK_EQUAL(500, admittedIn(10s, 20ms));
    CHECK(messages_ < 200);
}

TEST(BudgetGate, anOwnerOutOfReach_admitted_isTheEqualShare)
{
    const auto count = admittedIn(10s, 1ms, false);
    CHECK(count > 280 && count <= 301);
    now_ += 2s;
    CHECK(admitted());
}

TEST(BudgetGate, aRefusal_retryAfter_saysWhen)
{
    admittedIn(5s, 1ms);
    while (gate_.admit(now_) == Admission::Admit)
        now_ += 1us;
    CHECK(gate_.retryAfter(now_) > 0ms && gate_.retryAfter(now_) <= 200ms);
}
