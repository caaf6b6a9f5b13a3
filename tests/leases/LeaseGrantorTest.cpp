#include "leases/LeaseGrantor.h"

#include "leases/StateLease.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(LeaseGrantor)
{
    MonotonicTime start_;
    LeaseGrantor grantor_ = LeaseGrantor(3s);
    EntryId firstHolder_ = EntryId("one");
    EntryId secondHolder_ = EntryId("two");
};

TEST(LeaseGrantor, noHolders_confirmedIndex_isThatOfTheGrantor)
{
    CHECK(grantor_.confirmedIndex(5, start_) == 5);
}

TEST(LeaseGrantor, holderWithTheLowestIndex_confirmedIndex_countsItUntilItsLeaseExpires)
{
    grantor_.grant(firstHolder_, 5, 1h, start_);
    grantor_.grant(secondHolder_, 3, 1h, start_);
    CHECK(grantor_.confirmedIndex(9, start_) == 3);
    grantor_.grant(firstHolder_, 9, 1h, start_ + 2s);
    CHECK(grantor_.confirmedIndex(9, start_ + 3s) == 3);
    CHECK(grantor_.confirmedIndex(9, start_ + 4s) == 9);
}

TEST(LeaseGrantor, limitBelowTheLeaseDuration_grant_isNoLongerThanTheLimit)
{
    CHECK(grantor_.grant(firstHolder_, 5, 700ms, start_) == 700ms);
}

TEST(LeaseGrantor, holderTakenOver_waitingFor_countsItForAFullLeaseDuration)
{
    grantor_.takeOverHolders({firstHolder_}, start_);
    CHECK(grantor_.holdersBehind(1, start_ + 3s).size() == 1);
    CHECK(grantor_.holdersBehind(1, start_ + 4s).empty());
}

TEST(LeaseGrantor, unknownHolders_confirmedIndex_isZeroForAFullLeaseDuration)
{
    grantor_.takeOverUnknownHolders(start_);
    grantor_.grant(firstHolder_, 9, 1h, start_ + 1s);
    CHECK(grantor_.confirmedIndex(9, start_ + 3s) == 0);
    CHECK(grantor_.confirmedIndex(9, start_ + 4s) == 9);
}

/// Random renewals from leader to relay to entry, with lost and late answers and paused holders:
/// once the leader counts an index as confirmed, no entry may work with an older one applied.
TEST(LeaseGrantor, randomDelaysOverARelay_allowsWork_neverWithAnIndexBelowTheConfirmedOne)
{
    for (auto seed = 1U; seed <= 300U; ++seed) {
        auto random = std::mt19937(seed);
        auto leader = LeaseGrantor(3s);
        auto relay = LeaseGrantor(3s);
        auto relayLease = StateLease();
        auto entryLease = StateLease();
        auto applied = LogIndex{0};
        auto entryApplied = LogIndex{0};
        auto now = start_;
        for (auto step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds(random() % 900);
            applied += random() % 2;
            const auto relayNumber = relayLease.startRenewal(now);
            const auto entryNumber = entryLease.startRenewal(now);
            now += std::chrono::milliseconds(random() % 300);
            if (random() % 3 != 0) {
                const auto confirmed = relay.confirmedIndex(applied, now);
                const auto duration = leader.grant(EntryId("relay"), confirmed, 1h, now);
                if (random() % 4 != 0)
                    relayLease.renewalGranted(relayNumber, duration, 0);
            }
            if (random() % 3 != 0) {
                const auto duration
                    = relay.grant(EntryId("entry"), entryApplied, relayLease.remaining(now), now);
                now += std::chrono::milliseconds(random() % 2000);
                if (random() % 4 != 0) {
                    entryLease.renewalGranted(entryNumber, duration, 0);
                    entryApplied = std::max(entryApplied, applied);
                }
            }
            const auto inForce = leader.confirmedIndex(applied, now);
            CHECK(!entryLease.allowsWork(entryApplied, now) || entryApplied >= inForce);
        }
    }
}
