#include "leases/StateLease.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(StateLease)
{
    MonotonicTime start_;
    StateLease lease_;
};

TEST(StateLease, neverRenewed_allowsWork_isFalse)
{
    CHECK_FALSE(lease_.allowsWork(100, start_));
}

TEST(StateLease, granted_allowsWork_untilTheDurationSinceTheRenewalWasSent)
{
    const auto number = lease_.startRenewal(start_);
    lease_.renewalGranted(number, 3s, 0);
    CHECK(lease_.allowsWork(0, start_ + 2999ms));
    CHECK_FALSE(lease_.allowsWork(0, start_ + 3s));
}

TEST(StateLease, answerAfterAProcessPause_allowsWork_isFalse)
{
    const auto number = lease_.startRenewal(start_);
    lease_.renewalGranted(number, 3s, 0);
    CHECK_FALSE(lease_.allowsWork(0, start_ + 60s));
}

TEST(StateLease, appliedBelowTheRequiredIndex_allowsWork_isFalse)
{
    lease_.renewalGranted(lease_.startRenewal(start_), 3s, 7);
    CHECK_FALSE(lease_.allowsWork(6, start_));
    CHECK(lease_.allowsWork(7, start_));
}

TEST(StateLease, answersReorderedOrRepeated_granted_neverShortensOrLowersTheRequiredIndex)
{
    const auto first = lease_.startRenewal(start_);
    const auto second = lease_.startRenewal(start_ + 1s);
    lease_.renewalGranted(second, 3s, 9);
    lease_.renewalGranted(first, 3s, 4);
    lease_.renewalGranted(second, 30s, 4);
    CHECK(lease_.requiredIndex() == 9);
    CHECK(lease_.remaining(start_ + 1s) == 3s);
}
