#include "gateway/ClaimSettler.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(ClaimSettler)
{
    using Answer = std::function<void(const Result<CommandOutcome> &)>;

    std::vector<Answer> proposed_;
    std::optional<Claim> claim_;
    MonotonicTime now_;
    int told_ = 0;
    ClaimSettler settler_{
        [this](const Command &, Answer done) { proposed_.push_back(std::move(done)); },
        [this](const IdempotencyKey &) { return claim_; }, [this] { return now_; }};

    auto settle(ClaimPhase phase)->void
    {
        settler_.settle(SettleClaim{IdempotencyKey("k"), RequestId("r1"), phase, std::nullopt},
                        [this] { ++told_; });
    }

    auto open(const char *request)->void
    {
        claim_ = Claim{.key_ = IdempotencyKey("k"), .request_ = RequestId(request)};
    }
};

TEST(ClaimSettler, aReleaseBeforeItsClaim_theClaimCommits_isProposedAgain)
{
    settle(ClaimPhase::Released);
    proposed_.at(0)(CommandOutcome{.accepted_ = false});
    CHECK_EQUAL(1, told_);
    settler_.tick();
    CHECK_EQUAL(1, proposed_.size());
    open("r1");
    settler_.tick();
    settler_.tick();
    CHECK_EQUAL(2, proposed_.size());
    proposed_.at(1)(CommandOutcome{.accepted_ = true});
    CHECK_EQUAL(0, settler_.remembered());
    CHECK_EQUAL(1, told_);
}

TEST(ClaimSettler, aSettlementThatFailed_isProposedUntilItIsAccepted)
{
    const auto failure = Failure{Error::OutcomeUnknown, "no leader"};
    open("r1");
    settle(ClaimPhase::Completed);
    proposed_.at(0)(failure);
    settler_.tick();
    proposed_.at(1)(failure);
    settler_.tick();
    proposed_.at(2)(CommandOutcome{.accepted_ = true, .claim_ = claim_});
    CHECK_EQUAL(0, settler_.remembered());
}

TEST(ClaimSettler, aClaimOfAnotherRequest_isLeftAlone)
{
    settle(ClaimPhase::Released);
    proposed_.at(0)(CommandOutcome{.accepted_ = false});
    open("r2");
    settler_.tick();
    CHECK_EQUAL(1, proposed_.size());
}

TEST(ClaimSettler, anAcceptedSettlement_isNotRemembered)
{
    settle(ClaimPhase::Completed);
    proposed_.at(0)(CommandOutcome{.accepted_ = true});
    CHECK_EQUAL(0, settler_.remembered());
}

TEST(ClaimSettler, aSettlementOfLongAgo_isForgotten)
{
    settle(ClaimPhase::Released);
    proposed_.at(0)(CommandOutcome{.accepted_ = false});
    now_ += std::chrono::minutes(11);
    settler_.tick();
    CHECK_EQUAL(0, settler_.remembered());
}
