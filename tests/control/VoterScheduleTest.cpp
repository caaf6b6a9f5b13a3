#include "control/ControlFleet.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <numeric>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

/// The limits that a deployment states. A machine is lost while it is down, frozen or cut off, and
/// for the catch-up time after its return or after the start of the empty one in its place.
constexpr auto catchUpTime = Duration(4s);
/// Where more machines were down at once than are tolerated, service is back this long after the
/// last return.
constexpr auto recoveryTime = Duration(12s);
/// A proposal is answered within this time while no more machines are lost than are tolerated.
constexpr auto answerTime = Duration(6s);

constexpr auto seedCount = std::size_t{3};
constexpr auto scheduleDuration = Duration(75s);
constexpr auto defaultScheduleCount = std::uint64_t(12);

/// What a schedule draws.
struct ScheduleKind
{
    /// The machines that may be lost at once.
    std::size_t tolerated_ = 1;
    /// Control machines beyond the wanted number of voters.
    std::size_t spares_ = 0;
    /// Beside the losses configurations change in quick succession, disks fill up, links are cut in
    /// one direction, and at the end machines lose their disks while all others restart.
    bool isMixed_ = false;
    /// The number of control machines in each zone, instead of spares_. Whole zones are lost as
    /// well, machines are added, and each loss mostly begins as soon as the limits allow it.
    std::vector<std::size_t> zones_;

    auto operator==(const ScheduleKind &) const -> bool = default;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return zones_.empty() ? 2 * tolerated_ + 1 + spares_
                              : std::accumulate(zones_.begin(), zones_.end(), std::size_t{0});
    }
};

/// The number of seeds, from 1 on, that each test runs; LYCHEEREACH_SCHEDULES sets ten times it. A
/// mixed schedule takes as long as four others.
auto scheduleCount(const ScheduleKind &kind) -> std::uint64_t
{
    const auto *text = std::getenv("LYCHEEREACH_SCHEDULES");
    const auto count
        = text == nullptr ? defaultScheduleCount : std::strtoull(text, nullptr, 10) / 10;
    return std::max<std::uint64_t>(1, kind.isMixed_ ? count / 4 : count);
}

/// Draws losses of control machines, in turn and overlapping, within the stated limits.
class LossSchedule
{
public:
    LossSchedule(std::uint64_t seed, const ScheduleKind &kind)
        : fleet_(seed, kind.size(), 1)
        , kind_(kind)
        , tolerated_(kind.tolerated_)
    {
        auto &settings = fleet_.settings_;
        settings.targetVoterCount_ = 2 * tolerated_ + 1;
        settings.stateLeaseDuration_ = 2500ms;
        settings.renewalIntervalWithoutLease_ = 150ms;
        settings.entryLostTimeout_ = 3500ms;
        settings.registrationInterval_ = 1500ms;
        settings.logHeartbeatInterval_ = 250ms;
        settings.logElectionTimeout_ = 1400ms;
        settings.snapshotAfterRecords_ = 20;
        fleet_.event_ = [this](const Event &event) {
            if (event.number_ == EventNumber::LeaderElected
                || event.number_ == EventNumber::VoterChangeProposed
                || event.number_ == EventNumber::VotersChanged)
                addLine(Json(event.attributes_).dump());
        };
        fleet_.dropsMessage_ = [this](std::size_t from, std::size_t to, const std::string &) {
            return mute_.contains(from) || deaf_.contains(to);
        };
        placeInZones();
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            auto &seeds = fleet_.node(index).seeds_;
            if (kind.isMixed_ || !kind.zones_.empty())
                seeds.resize(seedCount);
            fleet_.start(index);
            if (fleet_.node(index).disk_)
                members_.push_back(index);
        }
    }

    /// Runs the schedule; returns what went wrong, nothing when all was well.
    auto run() -> std::string
    {
        if (!fleet_.runUntilReady())
            return "the fleet did not become ready";
        fleet_.run(5s);
        const auto end = fleet_.now() + scheduleDuration;
        while (fleet_.now() < end && fleet_.violations().empty()) {
            returnWhenDue();
            changeWhenDue();
            if (!kind_.zones_.empty())
                checkZones();
            const auto isAtLimit
                = !kind_.zones_.empty() && losses_.empty() && fleet_.random(4) != 0;
            if (isAtLimit && fleet_.random(2) == 0)
                loseZone();
            else if (lostCount() < tolerated_ && (isAtLimit || fleet_.random(40) == 0))
                loseOne();
            else if (!kind_.zones_.empty() && fleet_.random(400) == 0)
                addMachine();
            else if (losses_.empty() && fleet_.random(1500) == 0)
                restartAll();
            fleet_.run(20ms);
        }
        if (!runUntilNoneIsLost())
            return "a machine did not return";
        if (kind_.isMixed_) {
            fleet_.run(std::chrono::milliseconds(fleet_.random(3000)));
            restartAllWithoutSomeDisks();
            if (!runUntilNoneIsLost())
                return "a machine did not return after the end";
        }
        const auto isWell = isServing() && holdsAllAnswered() && isSpread_;
        return isWell ? fleet_.violations() : fleet_.violations() + log_;
    }

private:
    struct Loss
    {
        std::size_t node_;
        MonotonicTime returnsAt_;
        /// Nothing once it has returned.
        std::function<void()> returnIt_;
        MonotonicTime endsAt_;
    };

    /// Gives the machines their zones in random order, so that seeds stand in any of them.
    auto placeInZones() -> void
    {
        auto zones = std::vector<ZoneName>{};
        for (std::size_t zone = 0; zone < kind_.zones_.size(); ++zone)
            zones.insert(zones.end(), kind_.zones_[zone], zoneNumber(zone));
        for (std::size_t index = 0; index < zones.size(); ++index) {
            std::swap(zones[index], zones[index + fleet_.random(zones.size() - index)]);
            fleet_.node(index).self_.zone_ = zones[index];
        }
    }

    static auto zoneNumber(std::size_t number) -> ZoneName
    {
        return ZoneName("z" + std::to_string(number));
    }

    auto zoneOf(const EntryId &id) -> ZoneName
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            if (fleet_.node(index).self_.id_ == id)
                return fleet_.node(index).self_.zone_;
        }
        return ZoneName();
    }

    /// Once nothing has been lost, added or returned for the catch-up time: checks that the voters
    /// are as many as wanted and stand spread over the zones as evenly as the machines allow.
    auto checkZones() -> void
    {
        if (!losses_.empty() || fleet_.now() < unsettledUntil_ || !isSpread_)
            return;
        const auto leader = fleet_.leader();
        const auto voters
            = leader ? fleet_.service(*leader).status().voters_ : std::vector<EntryId>{};
        auto votes = std::map<ZoneName, std::size_t>{};
        for (const auto &voter : voters)
            ++votes[zoneOf(voter)];
        auto most = std::size_t{0};
        for (const auto &[zone, count] : votes)
            most = std::max(most, count);
        auto isEven = true;
        for (const auto node : members_) {
            const auto &self = fleet_.node(node).self_;
            const auto votesHere
                = std::find(voters.begin(), voters.end(), self.id_) != voters.end();
            isEven = isEven && (votesHere || votes[self.zone_] + 1 >= most);
        }
        isSpread_ = isEven && voters.size() == fleet_.settings_.targetVoterCount_;
        if (!isSpread_)
            addLine("the voters are not spread evenly" + describeVoters());
    }

    /// Loses all control machines of a zone; whoever is left answers a proposal in time.
    auto loseZone() -> void
    {
        const auto zone = zoneNumber(fleet_.random(kind_.zones_.size()));
        const auto absence = answerTime + Duration(std::chrono::milliseconds(fleet_.random(4000)));
        const auto isCutOff = fleet_.random(2) == 0;
        auto operations = std::map<std::size_t, OperationId>{};
        for (const auto node : members_) {
            if (fleet_.node(node).self_.zone_ != zone) {
                operations.emplace(node, OperationId());
                continue;
            }
            note("is lost with its zone:", node);
            if (isCutOff) {
                fleet_.isolatedNodes_.insert(node);
                begin(node, absence, [this, node] { fleet_.isolatedNodes_.erase(node); });
            } else {
                fleet_.stop(node);
                begin(node, absence, [this, node] { start(node); });
            }
        }
        for (auto &[node, operation] : operations)
            operation = fleet_.proposeDeclaration(node);
        fleet_.run(answerTime);
        checkAnswered(operations);
    }

    /// A zone for the successor of a machine that stood in \a zone: another one, if the machines
    /// can then still stand so that a majority of the voters survives the loss of each zone.
    auto zoneOfSuccessor(const ZoneName &zone) -> ZoneName
    {
        const auto drawn = zoneNumber(fleet_.random(kind_.zones_.size()));
        auto machines = std::map<ZoneName, std::size_t>{{drawn, 1}};
        for (const auto member : members_)
            ++machines[fleet_.node(member).self_.zone_];
        auto votes = std::size_t{0};
        for (const auto &[name, count] : machines)
            votes += std::min(count, tolerated_);
        return votes >= fleet_.settings_.targetVoterCount_ ? drawn : zone;
    }

    /// Starts an empty machine beside the others, in any zone.
    auto addMachine() -> void
    {
        if (members_.size() > kind_.size() + 2)
            return;
        const auto added = fleet_.addControlNode();
        fleet_.node(added).self_.zone_ = zoneNumber(fleet_.random(kind_.zones_.size()));
        note("is added:", added);
        members_.push_back(added);
        start(added);
        unsettledUntil_ = fleet_.now() + catchUpTime;
    }

    auto isLost(std::size_t node) const -> bool
    {
        return std::any_of(losses_.begin(), losses_.end(),
                           [node](const auto &loss) { return loss.node_ == node; });
    }

    auto lostCount() const -> std::size_t { return losses_.size(); }

    auto addLine(const std::string &text) -> void
    {
        log_ += "\n  " + std::to_string(toMilliseconds(fleet_.now().time_since_epoch())) + " "
            + text;
    }

    auto note(const std::string &text, std::size_t node) -> void
    {
        const auto &self = fleet_.node(node).self_;
        addLine(text + " " + self.id_.text() + " in " + self.zone_.text() + describeVoters());
    }

    /// The leader and its voters.
    auto describeVoters() -> std::string
    {
        const auto leader = fleet_.leader();
        if (!leader)
            return ", no leader";
        const auto status = fleet_.service(*leader).status();
        auto text = ", leader " + status.entry_.text() + ", voters";
        for (const auto &voter : status.voters_)
            text += " " + voter.text();
        return text;
    }

    auto runUntilNoneIsLost() -> bool
    {
        return fleet_.runUntil([this] {
            returnWhenDue();
            return losses_.empty();
        });
    }

    /// Proposes a declaration at any machine, each few hundred milliseconds.
    auto changeWhenDue() -> void
    {
        if (!kind_.isMixed_ || fleet_.random(20) != 0)
            return;
        const auto node = members_[fleet_.random(members_.size())];
        if (fleet_.node(node).service_ != nullptr)
            fleet_.proposeDeclaration(node);
    }

    auto returnWhenDue() -> void
    {
        for (auto &loss : losses_) {
            if (loss.returnIt_ && fleet_.now() >= loss.returnsAt_)
                std::exchange(loss.returnIt_, nullptr)();
        }
        std::erase_if(losses_, [this](const auto &loss) {
            return !loss.returnIt_ && fleet_.now() >= loss.endsAt_;
        });
    }

    auto begin(std::size_t node, Duration absence, std::function<void()> returnIt) -> void
    {
        const auto returnsAt = fleet_.now() + absence;
        losses_.push_back({node, returnsAt, std::move(returnIt), returnsAt + catchUpTime});
    }

    /// Starts a process with settings that name three control machines of this moment.
    auto start(std::size_t node) -> void
    {
        auto &seeds = fleet_.node(node).seeds_;
        seeds.clear();
        for (std::size_t index = 0; index < members_.size() && seeds.size() < seedCount; ++index)
            seeds.push_back(fleet_.node(members_[index]).self_.id_);
        fleet_.start(node);
    }

    auto loseOne() -> void
    {
        const auto leader = fleet_.leader();
        auto node = members_[fleet_.random(members_.size())];
        if (leader && fleet_.random(2) == 0)
            node = *leader;
        if (isLost(node))
            return;
        const auto absence = Duration(std::chrono::milliseconds(fleet_.random(3500)));
        switch (fleet_.random(kind_.isMixed_ ? 8 : 5)) {
        case 0:
        case 1:
            replace(node, absence / 3);
            break;
        case 2:
            note("loses its disk:", node);
            fleet_.stop(node);
            fleet_.loseDisk(node);
            begin(node, absence, [this, node] { start(node); });
            break;
        case 3:
            note("is frozen:", node);
            fleet_.node(node).frozen_ = true;
            begin(node, absence, [this, node] { fleet_.node(node).frozen_ = false; });
            break;
        case 5:
            note("has a full disk:", node);
            fleet_.node(node).disk_->full_ = true;
            begin(node, absence, [this, node] { fleet_.node(node).disk_->full_ = false; });
            break;
        case 6:
            note("sends nothing:", node);
            mute_.insert(node);
            begin(node, absence, [this, node] { mute_.erase(node); });
            break;
        case 7:
            note("receives nothing:", node);
            deaf_.insert(node);
            begin(node, absence, [this, node] { deaf_.erase(node); });
            break;
        default:
            note("is cut off:", node);
            fleet_.isolatedNodes_.insert(node);
            begin(node, absence, [this, node] { fleet_.isolatedNodes_.erase(node); });
        }
    }

    auto replace(std::size_t node, Duration absence) -> void
    {
        note("is lost for good:", node);
        fleet_.stop(node);
        std::erase(members_, node);
        begin(node, absence, [this, zone = fleet_.node(node).self_.zone_] {
            const auto successor = fleet_.addControlNode();
            if (!kind_.zones_.empty())
                fleet_.node(successor).self_.zone_ = zoneOfSuccessor(zone);
            note("replaces it:", successor);
            members_.push_back(successor);
            start(successor);
        });
    }

    /// Ends all processes, which start again within a second with their disks.
    auto restartAll() -> void
    {
        note("and all others restart:", members_.front());
        for (const auto node : members_) {
            fleet_.stop(node);
            const auto startsAt = fleet_.now() + std::chrono::milliseconds(fleet_.random(1000));
            losses_.push_back(
                {node, startsAt, [this, node] { start(node); }, startsAt + recoveryTime});
        }
    }

    /// As above, where as many machines as are tolerated lose their disks; the entry restarts too.
    auto restartAllWithoutSomeDisks() -> void
    {
        for (std::size_t lost = 0; lost < tolerated_; ++lost) {
            const auto leader = fleet_.leader();
            const auto node = leader && lost == 0 && fleet_.random(2) == 0
                ? *leader
                : members_[fleet_.random(members_.size())];
            note("loses its disk at the end:", node);
            fleet_.stop(node);
            fleet_.loseDisk(node);
        }
        restartAll();
        for (std::size_t index = 0; index < fleet_.size(); ++index) {
            if (fleet_.node(index).disk_)
                continue;
            fleet_.stop(index);
            fleet_.start(index);
        }
    }

    /// Whether the leader's state holds every configuration that was answered as accepted.
    auto holdsAllAnswered() -> bool
    {
        auto newest = Version(0);
        for (const auto &[id, outcome] : fleet_.outcomes_) {
            if (outcome.status_ == OperationStatus::Accepted)
                newest = std::max(newest, outcome.version_);
        }
        const auto leader = fleet_.leader();
        if (!leader)
            return false;
        const auto held = fleet_.service(*leader).readState(
            [](const FleetState &state) { return state.version_; });
        if (held >= newest)
            return true;
        note("lacks version " + std::to_string(newest) + ":", *leader);
        return false;
    }

    /// Whether a change that is proposed at each control machine is answered in time.
    auto isServing() -> bool
    {
        auto operations = std::map<std::size_t, OperationId>{};
        for (const auto node : members_)
            operations.emplace(node, fleet_.proposeDeclaration(node));
        fleet_.run(answerTime);
        checkAnswered(operations);
        return isAnswered_;
    }

    /// Clears isAnswered_ unless each operation, proposed at its node, was answered.
    auto checkAnswered(const std::map<std::size_t, OperationId> &operations) -> void
    {
        for (const auto &[node, operation] : operations) {
            if (fleet_.outcomes_.contains(operation))
                continue;
            note("no answer at", node);
            isAnswered_ = false;
        }
    }

    ControlFleet fleet_;
    ScheduleKind kind_;
    std::size_t tolerated_;
    /// Machines that can receive but not send, and that can send but not receive.
    std::set<std::size_t> mute_;
    std::set<std::size_t> deaf_;
    std::vector<std::size_t> members_;
    std::vector<Loss> losses_;
    /// Until then a machine that was added has yet to catch up.
    MonotonicTime unsettledUntil_;
    bool isAnswered_ = true;
    bool isSpread_ = true;
    std::string log_;
};

} // namespace

TEST_GROUP(VoterSchedules){
    static auto runSchedules(const ScheduleKind &kind)->void{auto failed = std::string{};
auto first = std::string{};
for (std::uint64_t seed = 1; seed <= scheduleCount(kind); ++seed) {
    const auto failure = LossSchedule(seed, kind).run();
    if (failure.empty())
        continue;
    failed += " " + std::to_string(seed);
    first = first.empty() ? failure : first;
}
if (!failed.empty())
    FAIL(("failed seeds:" + failed + "; the first one:" + first).c_str());
}
}
;

/// Guards against voters that are replaced too late: once a successor counts as caught up, the loss
/// of another machine left two of three voters gone for good.
TEST(VoterSchedules, oneToleratedLossAtATime_run_endWithAQuorum)
{
    runSchedules({.tolerated_ = 1});
}

TEST(VoterSchedules, twoToleratedLossesAtATime_run_endWithAQuorum)
{
    runSchedules({.tolerated_ = 2});
}

/// Guards against the end of CONFIG in issue 43, where no change was accepted any more: losses
/// beside changes and snapshots, disks that fill up and links cut in one direction, and at the end
/// lost disks while all processes restart.
TEST(VoterSchedules, oneToleratedLossBesideChanges_run_endsWithAQuorumAndAllAnswered)
{
    runSchedules({.tolerated_ = 1, .spares_ = 2, .isMixed_ = true});
}

TEST(VoterSchedules, twoToleratedLossesBesideChanges_run_endWithAQuorumAndAllAnswered)
{
    runSchedules({.tolerated_ = 2, .spares_ = 4, .isMixed_ = true});
}

/// As above without machines beyond the voters: a voter that is lost has no successor but its own.
TEST(VoterSchedules, oneToleratedLossBesideChangesWithoutSpares_run_endsWithAQuorumAndAllAnswered)
{
    runSchedules({.tolerated_ = 1, .isMixed_ = true});
}

/// Guards against review/11, an outage with the loss of one zone: two of three voters had come to
/// stand in it while the voter of another zone was away, and stayed there after its return.
TEST(VoterSchedules, zonesOfTwoTwoAndOneMachines_runWithLossesOfZones_areBorneAndVotersSpread)
{
    runSchedules({.tolerated_ = 1, .zones_ = {2, 2, 1}});
}

/// As above where each zone has a machine to spare.
TEST(VoterSchedules, zonesOfTwoMachinesEach_runWithLossesOfZones_areBorneAndVotersSpread)
{
    runSchedules({.tolerated_ = 1, .zones_ = {2, 2, 2}});
}

/// As above with five voters over four zones.
TEST(VoterSchedules, fourZonesAndTwoToleratedMachines_runWithLossesOfZones_areBorneAndVotersSpread)
{
    runSchedules({.tolerated_ = 2, .zones_ = {2, 1, 1, 1}});
}
