#include "StateFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(ClaimCommands)
{
    StateFixture fixture_;

    auto setup()->void override
    {
        fixture_.joinEntry("e1", 5);
    }

    auto claim(const std::string &request, const std::string &digest = "d", Incarnation holder = 5)
        ->CommandOutcome
    {
        return fixture_.run(ClaimRequest{IdempotencyKey("k"), digest, EntryId("e1"), holder,
                                         RequestId(request), 1000});
    }

    auto settle(const std::string &request, ClaimPhase phase)->CommandOutcome
    {
        return fixture_.run(SettleClaim{IdempotencyKey("k"), RequestId(request), phase,
                                        StoredAnswer{200, "text/plain", "done"}});
    }
};

TEST(ClaimCommands, aFreshKey_mayBeDispatched_andASecondRequestMayNot)
{
    CHECK(claim("r1").mayDispatch_);
    CHECK_FALSE(claim("r2").mayDispatch_);
    CHECK(claim("r1").mayDispatch_);
}

TEST(ClaimCommands, anotherBodyUnderTheKey_isToldApart)
{
    claim("r1");
    CHECK_FALSE(claim("r1", "other").mayDispatch_);
}

TEST(ClaimCommands, aCompletedClaim_givesItsStoredAnswer)
{
    claim("r1");
    CHECK(settle("r1", ClaimPhase::Completed).accepted_);
    STRCMP_EQUAL("done", claim("r2").claim_->answer_->body_.c_str());
}

TEST(ClaimCommands, aReleasedClaim_mayBeClaimedAgain)
{
    claim("r1");
    settle("r1", ClaimPhase::Released);
    CHECK(claim("r2").mayDispatch_);
    CHECK_FALSE(settle("r1", ClaimPhase::Completed).accepted_);
}

TEST(ClaimCommands, aClaimOfALostOrRestartedEntry_isUnknownAndNeverDispatchedAgain)
{
    claim("r1");
    fixture_.run(SetEntryPhase{EntryId("e1"), 5, EntryPhase::Lost});
    CHECK(claim("r2").claim_->phase_ == ClaimPhase::Unknown);
    CHECK_FALSE(claim("r1").mayDispatch_);
    CHECK(settle("r1", ClaimPhase::Completed).accepted_);
}

TEST(ClaimCommands, aHolderOfAnEarlierIncarnation_claimsNothing)
{
    CHECK_FALSE(claim("r1", "d", 4).mayDispatch_);
}

TEST(ClaimCommands, oldClaims_areForgotten_butNeverOpenOnes)
{
    claim("r1");
    fixture_.run(ExpireClaims{5000});
    CHECK(fixture_.state().claims_.size() == 1);
    settle("r1", ClaimPhase::Completed);
    fixture_.run(ExpireClaims{5000});
    CHECK(fixture_.state().claims_.empty());
}

TEST(ClaimCommands, aClaimPastTheRetention_expiryOf_namesTheLimit)
{
    const auto day = std::chrono::hours(24);
    const auto at = [](auto time) { return WallTime(std::chrono::microseconds(time)); };
    claim("r1");
    CHECK_FALSE(expiryOf(fixture_.state(), at(2 * day)).has_value());
    settle("r1", ClaimPhase::Completed);
    CHECK_FALSE(expiryOf(fixture_.state(), at(day)).has_value());
    const auto expiry = expiryOf(fixture_.state(), at(day + std::chrono::seconds(2)));
    CHECK_EQUAL(2000, expiry.value().olderThanMs_);
    fixture_.run(*expiry);
    CHECK(fixture_.state().claims_.empty());
}

TEST(ClaimCommands, aBlockedFingerprint_unblocked_isForgotten)
{
    CHECK(fixture_.run(BlockRequest{"f", 1}).accepted_);
    CHECK(fixture_.state().blocked_.contains("f"));
    CHECK(fixture_.run(UnblockRequest{"f"}).accepted_);
    CHECK(fixture_.state().blocked_.empty());
    CHECK_FALSE(fixture_.run(UnblockRequest{"f"}).accepted_);
}

// Guards against state that grows with whatever callers send.
TEST(ClaimCommands, moreFingerprintsThanAreKept_block_forgetsTheOldest)
{
    for (std::size_t at = 0; at <= BlockRequest::maxBlocked; ++at)
        fixture_.run(BlockRequest{"f" + std::to_string(at), static_cast<std::int64_t>(at)});
    CHECK_EQUAL(BlockRequest::maxBlocked, fixture_.state().blocked_.size());
    CHECK_FALSE(fixture_.state().blocked_.contains("f0"));
}
