#include "control/ControlFleet.h"
#include "serving/EvidenceAnswer.h"
#include "serving/EvidenceQuery.h"
#include "serving/MemberProbe.h"
#include "serving/ServingEvidence.h"

#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

struct SentMessage
{
    EntryId to_;
    std::string method_;
    Json params_;
};

} // namespace

/// The ServingEvidence and MemberProbe of a control process, in a simulated fleet with a group of
/// two engines. The tests answer its queries and probes in place of entries and engines.
TEST_GROUP(Evidence)
{
    ControlFleet fleet_ = ControlFleet(1, 1, 2);
    UpstreamId firstMember_{"u0"};
    UpstreamId secondMember_{"u1"};
    std::vector<SentMessage> sent_;
    std::vector<std::function<void(ProbeOutcome)>> probes_;
    std::unique_ptr<ServingEvidence> evidence_;
    std::shared_ptr<MemberProbe> probe_;

    auto setup()->void override
    {
        // The entries that addEntries() registers never renew.
        fleet_.settings_.entryLostTimeout_ = 60s;
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        const auto now = [this] { return fleet_.now(); };
        evidence_ = std::make_unique<ServingEvidence>(
            control(),
            ServingEvidenceHooks{[this](const EntryId &to, const std::string &method, Json params) {
                                     sent_.push_back({to, method, std::move(params)});
                                 },
                                 now});
        probe_ = std::make_shared<MemberProbe>(
            control(),
            MemberProbeHooks{
                .probe_ =
                    [this](const Upstream &, std::function<void(ProbeOutcome)> done) {
                        probes_.push_back(std::move(done));
                    },
                .queryEvidence_
                = [this](const UpstreamId &upstream) { evidence_->queryEntries(upstream); },
                .querySomeEvidence_
                = [this](
                      const UpstreamId &upstream) { return evidence_->querySomeEntries(upstream); },
                .hasServedSince_ =
                    [this](const UpstreamId &upstream, MonotonicTime since) {
                        return evidence_->hasServedSince(upstream, since);
                    },
                .event_ = [](const Event &) {},
                .now_ = now});
        addGroup();
    }

    auto control()->ControlService &
    {
        return fleet_.service(*fleet_.leader());
    }

    auto commit(const Command &command)->void
    {
        control().propose(command, nullptr);
        fleet_.run(200ms);
    }

    auto addGroup()->void
    {
        auto declaration = Declaration{};
        declaration.zones_ = {ZoneName("a")};
        declaration.pools_ = {Pool{.name_ = PoolName("p"), .model_ = "m", .instancesPerGroup_ = 2}};
        commit(PublishDeclaration{1, declaration, "{}"});
        for (const auto &id : {firstMember_, secondMember_})
            commit(PutUpstream{Announcement{.upstream_ = id,
                                            .incarnation_ = 1,
                                            .address_ = id.text() + ":1",
                                            .zone_ = ZoneName("a"),
                                            .fabricDomain_ = FabricDomain("d"),
                                            .pool_ = PoolName("p"),
                                            .cold_ = false},
                               EntryId("c")});
        commit(FormGroup{
            GroupId("g"), PoolName("p"), ZoneName("a"), 0, {firstMember_, secondMember_}, true});
        const auto hasGroup = control().readState(
            [&](const FleetState &state) { return state.groupOf_.contains(secondMember_); });
        CHECK(hasGroup);
    }

    /// An entry answers that it received data from the first member \a age ago.
    auto answerQuery(Duration age)->void
    {
        CHECK(evidence_->receive(ServingEvidence::answerMethod,
                                 encode(EvidenceAnswer{firstMember_, toMilliseconds(age)})));
    }

    auto addEntries(std::size_t count)->void
    {
        for (std::size_t index = 0; index < count; ++index) {
            const auto id = EntryId("x" + std::to_string(index));
            commit(PutEntry{EntryRecord{.id_ = id, .incarnation_ = 1, .zone_ = ZoneName("a")}});
        }
        sent_.clear();
    }

    /// Ends all probes in flight without an answer.
    auto endProbesUnanswered()->void
    {
        const auto probes = std::exchange(probes_, {});
        for (const auto &done : probes)
            done(ProbeOutcome::Silent);
        fleet_.run(200ms);
    }

    /// An entry reports the group as stalled, and the time of the others to answer passes.
    auto reportStalled()->void
    {
        probe_->reportStalledGroup(firstMember_);
        fleet_.run(80ms);
        probe_->tick();
    }

    auto isLost(const UpstreamId &id)->bool
    {
        return control().readState(
            [&](const FleetState &state) { return state.upstreams_.at(id).lost_; });
    }
};

TEST(Evidence, silentMember_serves_asksEveryEntryAboutTheFirstMemberOncePerInterval)
{
    CHECK_FALSE(evidence_->isServing(secondMember_));
    const auto queryCount = sent_.size();
    CHECK(queryCount >= 2);
    for (const auto &message : sent_) {
        CHECK(message.method_ == ServingEvidence::queryMethod);
        CHECK(decode<EvidenceQuery>(message.params_).value().upstream_ == firstMember_);
    }
    CHECK_FALSE(evidence_->isServing(secondMember_));
    LONGS_EQUAL(queryCount, sent_.size());
    fleet_.run(600ms);
    CHECK_FALSE(evidence_->isServing(secondMember_));
    LONGS_EQUAL(2 * queryCount, sent_.size());
}

TEST(Evidence, firstMemberSentData_serves_isTrueForAllMembersForALimitedTime)
{
    answerQuery(100ms);
    CHECK(evidence_->isServing(secondMember_));
    CHECK(evidence_->isServing(firstMember_));
    fleet_.run(2s);
    CHECK_FALSE(evidence_->isServing(secondMember_));
}

TEST(Evidence, olderAnswerArrivesLater_hasServedSince_keepsTheNewer)
{
    const auto now = fleet_.now();
    answerQuery(50ms);
    answerQuery(900ms);
    CHECK(evidence_->hasServedSince(firstMember_, now - 60ms));
    CHECK_FALSE(evidence_->hasServedSince(firstMember_, now - 40ms));
}

TEST(Evidence, groupStalled_probe_proposesTheLossOfTheMemberThatAnswersNoProbe)
{
    reportStalled();
    answerQuery(250ms);
    LONGS_EQUAL(4, probes_.size());
    for (auto i = 0; i < 2; ++i)
        probes_[static_cast<std::size_t>(i)](ProbeOutcome::Answered);
    probes_.erase(probes_.begin(), probes_.begin() + 2);
    endProbesUnanswered();
    CHECK_FALSE(isLost(firstMember_));
    CHECK(isLost(secondMember_));
}

TEST(Evidence, oneProbeOfEachMemberLost_probe_proposesNoLoss)
{
    reportStalled();
    for (auto i = std::size_t{0}; i < probes_.size(); ++i)
        probes_[i](i % 2 == 0 ? ProbeOutcome::Answered : ProbeOutcome::Silent);
    fleet_.run(200ms);
    CHECK_FALSE(isLost(firstMember_));
    CHECK_FALSE(isLost(secondMember_));
}

TEST(Evidence, entriesStillReceiveData_unansweredProbes_proposesNoLoss)
{
    reportStalled();
    answerQuery(20ms);
    endProbesUnanswered();
    CHECK_FALSE(isLost(firstMember_));
    CHECK_FALSE(isLost(secondMember_));
}

TEST(Evidence, endedProcess_probe_proposesItsLossThoughTheGroupSeemsToServe)
{
    reportStalled();
    answerQuery(20ms);
    for (const auto &done : std::exchange(probes_, {}))
        done(ProbeOutcome::Ended);
    fleet_.run(200ms);
    CHECK(isLost(secondMember_));
}

/// Under overload entries report many groups as stalled that still serve; probing all of them takes
/// the processor time that reading the answers needs.
TEST(Evidence, anotherEntryReceivesData_groupStalled_startsNoProbe)
{
    for (auto i = 0; i < 8; ++i)
        probe_->reportStalledGroup(firstMember_);
    const auto queryCount = sent_.size();
    answerQuery(20ms);
    fleet_.run(80ms);
    probe_->tick();
    LONGS_EQUAL(0, probes_.size());
    LONGS_EQUAL(queryCount, sent_.size());
    CHECK(queryCount <= fleet_.size());
}

// Guards against a leader that spends its processor time on evidence: a stall report of a group
// that serves cost a query to each entry and an answer of each.
TEST(Evidence, manyEntries_aGroupThatServesIsReported_asksFewOfThem)
{
    addEntries(40);
    probe_->reportStalledGroup(firstMember_);
    LONGS_EQUAL(8, sent_.size());
    answerQuery(20ms);
    for (auto i = 0; i < 20; ++i)
        probe_->reportStalledGroup(firstMember_);
    fleet_.run(80ms);
    probe_->tick();
    LONGS_EQUAL(8, sent_.size());
    LONGS_EQUAL(0, probes_.size());
}

// Guards against members probed, and lost, while an entry that was not asked gets data.
TEST(Evidence, manyEntries_noneOfTheFirstAnswers_asksAllBeforeItProbes)
{
    addEntries(40);
    probe_->reportStalledGroup(firstMember_);
    fleet_.run(80ms);
    probe_->tick();
    LONGS_EQUAL(0, probes_.size());
    auto asked = std::set<EntryId>{};
    for (const auto &message : sent_)
        asked.insert(message.to_);
    CHECK(asked.size() >= 40);
    fleet_.run(80ms);
    probe_->tick();
    LONGS_EQUAL(4, probes_.size());
}

// Guards against always asking the same entries.
TEST(Evidence, manyEntries_reportedAgain_asksOthersFirst)
{
    addEntries(40);
    probe_->reportStalledGroup(firstMember_);
    probe_->reportStalledGroup(secondMember_);
    auto asked = std::set<EntryId>{};
    for (const auto &message : sent_)
        asked.insert(message.to_);
    LONGS_EQUAL(16, asked.size());
}

TEST(Evidence, probesEndedTooLate_unansweredProbes_proposesNoLoss)
{
    reportStalled();
    fleet_.run(500ms);
    endProbesUnanswered();
    CHECK_FALSE(isLost(firstMember_));
    CHECK_FALSE(isLost(secondMember_));
}

TEST(Evidence, processDelayedWhileProbing_unansweredProbes_proposesNoLoss)
{
    reportStalled();
    CHECK(!probes_.empty());
    fleet_.run(240ms);
    probe_->tick();
    endProbesUnanswered();
    CHECK_FALSE(isLost(firstMember_));
    CHECK_FALSE(isLost(secondMember_));
    fleet_.run(400ms);
    probe_->tick();
    reportStalled();
    endProbesUnanswered();
    CHECK(isLost(firstMember_));
}

TEST(Evidence, manyStalledGroups_tick_limitsConcurrentProbes)
{
    auto members = std::vector<UpstreamId>{};
    for (auto number = 0; number < 20; ++number) {
        members.emplace_back("m" + std::to_string(number));
        commit(PutUpstream{Announcement{.upstream_ = members.back(),
                                        .incarnation_ = 1,
                                        .address_ = members.back().text() + ":1",
                                        .zone_ = ZoneName("a"),
                                        .fabricDomain_ = FabricDomain("d"),
                                        .pool_ = PoolName("p"),
                                        .cold_ = false},
                           EntryId("c")});
    }
    for (auto number = 0; number < 20; number += 2) {
        const auto group = GroupId("many" + std::to_string(number));
        commit(FormGroup{
            group, PoolName("p"), ZoneName("a"), 0, {members[number], members[number + 1]}, true});
    }
    for (auto number = 0; number < 20; number += 2)
        probe_->reportStalledGroup(members[number]);
    fleet_.run(80ms);
    probe_->tick();
    constexpr auto maxProbes = 2 * 8;
    CHECK(!probes_.empty());
    CHECK(probes_.size() <= maxProbes);
}
