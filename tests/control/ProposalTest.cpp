#include "control/ControlFleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(Proposal){
    auto startAll(ControlFleet & fleet)
        ->void{for (std::size_t index = 0; index < fleet.size(); ++index) fleet.start(index);
CHECK(fleet.runUntilReady());
}

/// Checks that every outcome received by a callback equals the one in the state of each entry.
auto checkOutcomes(ControlFleet &fleet) -> void
{
    CHECK(fleet.runUntil([&] { return fleet.allInForce(); }));
    fleet.run(2s);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const auto applied
            = fleet.service(index).readState([](const auto &state) { return state.operations_; });
        auto found = std::size_t{0};
        for (const auto &outcome : applied) {
            const auto received = fleet.outcomes_.find(outcome.operation_);
            if (received == fleet.outcomes_.end())
                continue;
            ++found;
            CHECK(received->second == outcome);
        }
        CHECK_EQUAL(fleet.outcomes_.size(), found);
    }
    STRCMP_EQUAL("", fleet.violations().c_str());
}
}
;

TEST(Proposal, aForwardedProposal_committed_returnsTheAppliedOutcome)
{
    auto fleet = ControlFleet(1, 3, 2);
    startAll(fleet);
    const auto operation = fleet.proposeDeclaration(4);
    CHECK(fleet.runUntil([&] { return fleet.outcomes_.contains(operation); }, 1s));
    CHECK(fleet.outcomes_[operation].status_ == OperationStatus::Accepted);
    checkOutcomes(fleet);
}

TEST(Proposal, aProposalWhoseAnswerIsLost_sentAgain_returnsTheFirstOutcome)
{
    auto fleet = ControlFleet(2, 3, 2);
    startAll(fleet);
    fleet.dropsMessage_ = [](std::size_t, std::size_t, const std::string &method) {
        return method == "control.proposed";
    };
    const auto operation = fleet.proposeDeclaration(4);
    fleet.run(2s);
    CHECK(!fleet.outcomes_.contains(operation));
    fleet.dropsMessage_ = nullptr;
    CHECK(fleet.runUntil([&] { return fleet.outcomes_.contains(operation); }, 2s));
    CHECK(fleet.outcomes_[operation].status_ == OperationStatus::Accepted);
    checkOutcomes(fleet);
}

TEST(Proposal, aPendingProposal_leaderChanges_returnsItsOutcome)
{
    auto fleet = ControlFleet(3, 3, 2);
    startAll(fleet);
    const auto old = *fleet.leader();
    const auto operation = fleet.proposeDeclaration(4);
    fleet.isolatedNodes_.insert(old);
    CHECK(fleet.runUntil([&] { return fleet.outcomes_.contains(operation); }, 6s));
    fleet.heal();
    checkOutcomes(fleet);
}

TEST(Proposal, declarationsFromTheSameVersion_proposedTogether_oneIsAcceptedAndTheOthersConflict)
{
    auto fleet = ControlFleet(4, 3, 2);
    startAll(fleet);
    for (std::size_t index = 0; index < fleet.size(); ++index)
        fleet.proposeDeclaration(index);
    CHECK(fleet.runUntil([&] { return fleet.outcomes_.size() == fleet.size(); }, 3s));
    auto accepted = 0;
    for (const auto &[operation, outcome] : fleet.outcomes_)
        accepted += outcome.status_ == OperationStatus::Accepted ? 1 : 0;
    CHECK_EQUAL(1, accepted);
    checkOutcomes(fleet);
}

TEST(Proposal, aForwardedProposal_noLeader_timesOutAsMayHaveRun)
{
    auto fleet = ControlFleet(5, 3, 2);
    startAll(fleet);
    fleet.stop(0);
    fleet.stop(1);
    fleet.stop(2);
    auto verdict = std::optional<Verdict>();
    fleet.service(4).propose(SetZone{.operation_ = OperationId("op")}, [&](const auto &result) {
        verdict = result ? Verdict::Ran : result.failure().verdict_;
    });
    fleet.run(5900ms);
    CHECK(!verdict);
    fleet.run(300ms);
    CHECK(verdict == Verdict::MayHaveRun);
}

TEST(Proposal, everyProposal_leaderChanges_isAnsweredOnceWithTheAppliedOutcome)
{
    constexpr auto schedules = std::uint64_t{40};
    constexpr auto rounds = 30;
    for (auto seed = std::uint64_t{1}; seed <= schedules; ++seed) {
        auto fleet = ControlFleet(seed, 3, 2);
        startAll(fleet);
        for (auto round = 0; round < rounds; ++round) {
            const auto leader = fleet.leader();
            if (leader && fleet.random(2) == 0)
                fleet.isolatedNodes_ = {*leader};
            for (std::size_t index = 0; index < fleet.size(); ++index)
                fleet.proposeDeclaration(index);
            fleet.run(std::chrono::milliseconds(20 * (1 + fleet.random(120))));
            fleet.isolatedNodes_.clear();
            fleet.run(std::chrono::milliseconds(20 * fleet.random(60)));
        }
        fleet.heal();
        fleet.run(13s);
        CHECK_EQUAL(fleet.proposed_, fleet.answered_);
        checkOutcomes(fleet);
    }
}

TEST(Proposal, aReelectedLeader_recordsReplaced_answersItsEarlierProposals)
{
    constexpr auto schedules = std::uint64_t{30};
    for (auto seed = std::uint64_t{1}; seed <= schedules; ++seed) {
        auto fleet = ControlFleet(seed, 3, 2);
        startAll(fleet);
        const auto first = *fleet.leader();
        fleet.isolatedNodes_ = {first};
        for (auto count = 0; count < 5; ++count)
            fleet.proposeDeclaration(first);
        CHECK(fleet.runUntil([&] { return fleet.leader() && fleet.leader() != first; }));
        const auto second = *fleet.leader();
        fleet.isolatedNodes_.clear();
        fleet.run(300ms);
        fleet.isolatedNodes_ = {second};
        CHECK(fleet.runUntil([&] { return fleet.leader() && fleet.leader() != second; }));
        fleet.heal();
        fleet.run(13s);
        CHECK_EQUAL(fleet.proposed_, fleet.answered_);
        checkOutcomes(fleet);
    }
}

TEST(Proposal, anAnswerToAnEarlierRun_received_isIgnored)
{
    constexpr auto rounds = 200;
    auto fleet = ControlFleet(6, 3, 2);
    startAll(fleet);
    fleet.maximumDelay_ = 700ms;
    for (auto round = 0; round < rounds; ++round) {
        fleet.stop(4);
        fleet.start(4);
        const auto operation = OperationId("zone-" + std::to_string(round));
        fleet.run(100ms);
        fleet.service(4).propose(SetZone{.operation_ = operation},
                                 [operation](const Result<CommandOutcome> &result) {
                                     CHECK(!result || result->operation_);
                                     CHECK(!result || result->operation_->operation_ == operation);
                                 });
        fleet.run(std::chrono::milliseconds(20 * fleet.random(70)));
    }
}

/// Guards against an order that is carried out after its caller has given up, and undoes a later
/// one.
TEST(Proposal, aForwardedProposalOlderThanItsDeadline_theProcessGoesOnAfterAPause_isNotSentAgain)
{
    auto fleet = ControlFleet(3, 3, 0);
    startAll(fleet);
    const auto paused = (*fleet.leader() + 1) % 3;
    fleet.dropsMessage_ = [](std::size_t, std::size_t, const std::string &method) {
        return method == "control.propose";
    };
    const auto operation = fleet.proposeDeclaration(paused);
    fleet.node(paused).frozen_ = true;
    fleet.dropsMessage_ = nullptr;
    fleet.run(fleet.settings_.proposalTimeout_ + 1s);
    fleet.node(paused).frozen_ = false;
    fleet.run(2s);
    CHECK_EQUAL(1, fleet.failed_);
    const auto isApplied = fleet.service(*fleet.leader()).readState([&](const FleetState &state) {
        return std::any_of(state.operations_.begin(), state.operations_.end(),
                           [&](const auto &item) { return item.operation_ == operation; });
    });
    CHECK_FALSE(isApplied);
}
