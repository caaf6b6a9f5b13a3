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
    EntryId one_ = EntryId("one");
    EntryId two_ = EntryId("two");
};

TEST(LeaseGrantor, noHolders_confirmsWhatTheGrantorHas)
{
    CHECK(grantor_.confirmedIndex(5, start_) == 5);
}

TEST(LeaseGrantor, theSlowestHolder_decides_untilItsLeaseHasRunOut)
{
    grantor_.grant(one_, 5, 1h, start_);
    grantor_.grant(two_, 3, 1h, start_);
    CHECK(grantor_.confirmedIndex(9, start_) == 3);
    grantor_.grant(one_, 9, 1h, start_ + 2s);
    CHECK(grantor_.confirmedIndex(9, start_ + 3s) == 3);
    CHECK(grantor_.confirmedIndex(9, start_ + 4s) == 9);
}

TEST(LeaseGrantor, aRelaysGrant_isNoLongerThanItsOwnLease)
{
    CHECK(grantor_.grant(one_, 5, 700ms, start_) == 700ms);
}

TEST(LeaseGrantor, aTakenOverHolder_countsForAWholeLease)
{
    grantor_.takeOver({one_}, start_);
    CHECK(grantor_.waitingFor(1, start_ + 3s).size() == 1);
    CHECK(grantor_.waitingFor(1, start_ + 4s).empty());
}

TEST(LeaseGrantor, unknownHolders_confirmNothing_untilAWholeLeaseIsOver)
{
    grantor_.takeOverUnknown(start_);
    grantor_.grant(one_, 9, 1h, start_ + 1s);
    CHECK(grantor_.confirmedIndex(9, start_ + 3s) == 0);
    CHECK(grantor_.confirmedIndex(9, start_ + 4s) == 9);
}

/// Random renewals over two levels with lost and late answers and frozen holders: whenever the
/// leader counts an index as confirmed, no entry may work under an older one.
TEST(LeaseGrantor, randomDelaysOverTwoLevels_neverLetAnEntryWorkUnderAnOlderState)
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
            const auto relayNumber = relayLease.renewalSent(now);
            const auto entryNumber = entryLease.renewalSent(now);
            now += std::chrono::milliseconds(random() % 300);
            if (random() % 3 != 0) {
                const auto confirmed = relay.confirmedIndex(applied, now);
                const auto lasting = leader.grant(EntryId("relay"), confirmed, 1h, now);
                if (random() % 4 != 0)
                    relayLease.granted(relayNumber, lasting, 0);
            }
            if (random() % 3 != 0) {
                const auto lasting
                    = relay.grant(EntryId("entry"), entryApplied, relayLease.remaining(now), now);
                now += std::chrono::milliseconds(random() % 2000);
                if (random() % 4 != 0) {
                    entryLease.granted(entryNumber, lasting, 0);
                    entryApplied = std::max(entryApplied, applied);
                }
            }
            const auto inForce = leader.confirmedIndex(applied, now);
            CHECK(!entryLease.allowsWork(entryApplied, now) || entryApplied >= inForce);
        }
    }
}
