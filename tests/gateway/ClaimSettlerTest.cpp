#include "gateway/ClaimSettler.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(ClaimSettler)
{
    using ProposalCallback = std::function<void(const Result<CommandOutcome> &)>;

    std::vector<ProposalCallback> proposals_;
    std::optional<Claim> claim_;
    MonotonicTime now_;
    int doneCount_ = 0;
    ClaimSettler settler_{
        [this](const Command &, ProposalCallback done) { proposals_.push_back(std::move(done)); },
        [this](const IdempotencyKey &) { return claim_; }, [this] { return now_; }};

    auto settle(ClaimPhase phase)->void
    {
        settler_.settle(SettleClaim{IdempotencyKey("k"), RequestId("r1"), phase, std::nullopt},
                        [this] { ++doneCount_; });
    }

    auto openClaim(const char *request)->void
    {
        claim_ = Claim{.key_ = IdempotencyKey("k"), .request_ = RequestId(request)};
    }
};

TEST(ClaimSettler, release_claimCommitsLater_isProposedAgain)
{
    settle(ClaimPhase::Released);
    proposals_.at(0)(CommandOutcome{.accepted_ = false});
    CHECK_EQUAL(1, doneCount_);
    settler_.tick();
    CHECK_EQUAL(1, proposals_.size());
    openClaim("r1");
    settler_.tick();
    settler_.tick();
    CHECK_EQUAL(2, proposals_.size());
    proposals_.at(1)(CommandOutcome{.accepted_ = true});
    CHECK_EQUAL(0, settler_.pendingCount());
    CHECK_EQUAL(1, doneCount_);
}

TEST(ClaimSettler, settlement_proposalFails_isProposedUntilAccepted)
{
    const auto failure = Failure{Error::OutcomeUnknown, "no leader"};
    openClaim("r1");
    settle(ClaimPhase::Completed);
    proposals_.at(0)(failure);
    settler_.tick();
    proposals_.at(1)(failure);
    settler_.tick();
    proposals_.at(2)(CommandOutcome{.accepted_ = true, .claim_ = claim_});
    CHECK_EQUAL(0, settler_.pendingCount());
}

TEST(ClaimSettler, release_claimOfAnotherRequest_isNotProposedAgain)
{
    settle(ClaimPhase::Released);
    proposals_.at(0)(CommandOutcome{.accepted_ = false});
    openClaim("r2");
    settler_.tick();
    CHECK_EQUAL(1, proposals_.size());
}

TEST(ClaimSettler, settlement_accepted_isNotKept)
{
    settle(ClaimPhase::Completed);
    proposals_.at(0)(CommandOutcome{.accepted_ = true});
    CHECK_EQUAL(0, settler_.pendingCount());
}

TEST(ClaimSettler, settlement_retentionExpired_isDiscarded)
{
    settle(ClaimPhase::Released);
    proposals_.at(0)(CommandOutcome{.accepted_ = false});
    now_ += std::chrono::minutes(11);
    settler_.tick();
    CHECK_EQUAL(0, settler_.pendingCount());
}
