#include "control/ControlFleet.h"
#include "serving/MemberProbe.h"
#include "serving/ServingAnswer.h"
#include "serving/ServingEvidence.h"
#include "serving/ServingQuery.h"

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

/// A control process of a simulated fleet with a group of two engines, and what entries would
/// answer to its questions.
TEST_GROUP(Evidence)
{
    ControlFleet fleet_ = ControlFleet(1, 1, 2);
    UpstreamId head_{"u0"};
    UpstreamId member_{"u1"};
    std::vector<SentMessage> sent_;
    std::vector<std::function<void(ProbeOutcome)>> probes_;
    std::unique_ptr<ServingEvidence> evidence_;
    std::shared_ptr<MemberProbe> probe_;

    auto setup()->void override
    {
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
            MemberProbeHooks{.probe_ =
                                 [this](const Upstream &, std::function<void(ProbeOutcome)> done) {
                                     probes_.push_back(std::move(done));
                                 },
                             .askServing_
                             = [this](const UpstreamId &upstream) { evidence_->ask(upstream); },
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
        for (const auto &id : {head_, member_})
            commit(PutUpstream{Announcement{.upstream_ = id,
                                            .incarnation_ = 1,
                                            .address_ = id.text() + ":1",
                                            .zone_ = ZoneName("a"),
                                            .fabricDomain_ = FabricDomain("d"),
                                            .pool_ = PoolName("p"),
                                            .cold_ = false},
                               EntryId("c")});
        commit(FormGroup{GroupId("g"), PoolName("p"), ZoneName("a"), 0, {head_, member_}, true});
        const auto hasGroup = control().read(
            [&](const FleetState &state) { return state.groupOf_.contains(member_); });
        CHECK(hasGroup);
    }

    /// An entry says that the head gave it something \a age ago.
    auto answer(Duration age)->void
    {
        CHECK(evidence_->receive(ServingEvidence::answerMethod,
                                 encode(ServingAnswer{head_, toMilliseconds(age)})));
    }

    /// All probes under way have no answer.
    auto stayUnanswered()->void
    {
        const auto probes = std::exchange(probes_, {});
        for (const auto &done : probes)
            done(ProbeOutcome::Silent);
        fleet_.run(200ms);
    }

    /// An entry suspects the group, and the others have had time to answer.
    auto suspect()->void
    {
        probe_->groupStalled(head_);
        fleet_.run(80ms);
        probe_->tick();
    }

    auto isLost(const UpstreamId &id)->bool
    {
        return control().read(
            [&](const FleetState &state) { return state.upstreams_.at(id).lost_; });
    }
};

TEST(Evidence, aMemberIsUnheard_serves_asksEveryEntryAboutTheHeadOnceInAWhile)
{
    CHECK_FALSE(evidence_->serves(member_));
    const auto asked = sent_.size();
    CHECK(asked >= 2);
    for (const auto &message : sent_) {
        CHECK(message.method_ == ServingEvidence::queryMethod);
        CHECK(decode<ServingQuery>(message.params_).value().upstream_ == head_);
    }
    CHECK_FALSE(evidence_->serves(member_));
    LONGS_EQUAL(asked, sent_.size());
    fleet_.run(600ms);
    CHECK_FALSE(evidence_->serves(member_));
    LONGS_EQUAL(2 * asked, sent_.size());
}

TEST(Evidence, theHeadGaveSomething_serves_holdsForItsMembersForAWhile)
{
    answer(100ms);
    CHECK(evidence_->serves(member_));
    CHECK(evidence_->serves(head_));
    fleet_.run(2s);
    CHECK_FALSE(evidence_->serves(member_));
}

TEST(Evidence, anOlderAnswerComesLater_hasServedSince_keepsTheNewer)
{
    const auto now = fleet_.now();
    answer(50ms);
    answer(900ms);
    CHECK(evidence_->hasServedSince(head_, now - 60ms));
    CHECK_FALSE(evidence_->hasServedSince(head_, now - 40ms));
}

TEST(Evidence, theGroupStandsStill_probe_losesTheMemberThatAnswersNoProbe)
{
    suspect();
    answer(250ms);
    LONGS_EQUAL(4, probes_.size());
    for (auto i = 0; i < 2; ++i)
        probes_[static_cast<std::size_t>(i)](ProbeOutcome::Answered);
    probes_.erase(probes_.begin(), probes_.begin() + 2);
    stayUnanswered();
    CHECK_FALSE(isLost(head_));
    CHECK(isLost(member_));
}

TEST(Evidence, oneProbeIsLostOnItsWay_probe_losesNobody)
{
    suspect();
    for (auto i = std::size_t{0}; i < probes_.size(); ++i)
        probes_[i](i % 2 == 0 ? ProbeOutcome::Answered : ProbeOutcome::Silent);
    fleet_.run(200ms);
    CHECK_FALSE(isLost(head_));
    CHECK_FALSE(isLost(member_));
}

TEST(Evidence, entriesStillGetStreamsOfTheGroup_probe_losesNobodyThatControlCannotReach)
{
    suspect();
    answer(20ms);
    stayUnanswered();
    CHECK_FALSE(isLost(head_));
    CHECK_FALSE(isLost(member_));
}

TEST(Evidence, aProcessHasEnded_probe_losesItAlsoWhileItsGroupSeemsToServe)
{
    suspect();
    answer(20ms);
    for (const auto &done : std::exchange(probes_, {}))
        done(ProbeOutcome::Ended);
    fleet_.run(200ms);
    CHECK(isLost(member_));
}

/// Pattern: under overload entries suspect many groups that serve, and probing them all takes the
/// processor time that reading the answers needs.
TEST(Evidence, anotherEntryGetsStreamsOfTheGroup_suspicion_startsNoProbe)
{
    for (auto i = 0; i < 8; ++i)
        probe_->groupStalled(head_);
    const auto asked = sent_.size();
    answer(20ms);
    fleet_.run(80ms);
    probe_->tick();
    LONGS_EQUAL(0, probes_.size());
    LONGS_EQUAL(asked, sent_.size());
    CHECK(asked <= fleet_.size());
}

TEST(Evidence, thisProcessHadNoTimeForTheAnswers_probe_losesNobody)
{
    suspect();
    fleet_.run(500ms);
    stayUnanswered();
    CHECK_FALSE(isLost(head_));
    CHECK_FALSE(isLost(member_));
}

TEST(Evidence, theProcessIsHeldUpWhileItProbes_probesUnanswered_losesNobody)
{
    suspect();
    CHECK(!probes_.empty());
    fleet_.run(240ms);
    probe_->tick();
    stayUnanswered();
    CHECK_FALSE(isLost(head_));
    CHECK_FALSE(isLost(member_));
    fleet_.run(400ms);
    probe_->tick();
    suspect();
    stayUnanswered();
    CHECK(isLost(head_));
}

TEST(Evidence, manyMembersAreSuspected_probed_fewAtOnce)
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
        probe_->groupStalled(members[number]);
    fleet_.run(80ms);
    probe_->tick();
    constexpr auto mostProbes = 2 * 8;
    CHECK(!probes_.empty());
    CHECK(probes_.size() <= mostProbes);
}
