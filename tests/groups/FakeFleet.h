/// \file
/// \brief The decisions of a whole fleet joined by simulated messages.
#pragma once

#include "groups/EventQueue.h"
#include "groups/FakeEngine.h"
#include "groups/GroupPlanner.h"
#include "groups/GroupWatch.h"
#include "routing/GroupChooser.h"
#include "routing/PermitTable.h"
#include "state/StateMachine.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lycheereach {

/// What a fleet is made of, and how its network behaves.
struct FleetPlan
{
    std::uint64_t seed_ = 1;
    std::vector<std::string> zones_ = {"talca", "curico", "linares"};
    /// Instances of each fabric domain; the domains take turns over the zones.
    std::vector<std::size_t> domains_ = {9, 8, 9};
    std::size_t entries_ = 6;
    std::uint32_t instancesPerGroup_ = 4;
    std::uint32_t groupLimit_ = 0;
    Policy policy_;
    FakeEngine::Settings engine_;
    /// Requests started at all entries in a second while they can be.
    double requestRate_ = 0;
    Duration serviceTime_ = std::chrono::milliseconds(400);
    Duration requestTimeout_ = std::chrono::seconds(10);
    /// The share of orders and announcements that are late or doubled.
    double disorder_ = 0;
};

/// How the request of a caller went.
struct FinishedRequest
{
    MonotonicTime arrivedAt_;
    /// Nothing when it was shed.
    std::optional<Duration> firstByte_;
};

/// A control instance, entries, engines and callers around the real planner, state machine,
/// watches, permits and choosers. Every fault is a function; violations() lists what went wrong.
class FakeFleet
{
public:
    explicit FakeFleet(FleetPlan plan);

    auto run(Duration duration) -> void;
    auto now() const -> MonotonicTime { return queue_.now(); }

    auto kill(std::size_t engine) -> void;
    auto restart(std::size_t engine) -> void;
    /// The engine keeps its state but neither announces nor answers.
    auto pause(std::size_t engine, Duration duration) -> void;
    auto freezeEntry(std::size_t entry, Duration duration) -> void;
    auto stopEntry(std::size_t entry) -> void;
    auto setZone(const std::string &zone, bool out) -> void;
    auto drain(std::size_t engine, bool draining) -> void;
    auto changeLeader() -> void;
    /// From now on messages are neither late nor doubled.
    auto calm() -> void;

    auto state() const -> const FleetState & { return machine_.state(); }
    auto engines() -> std::vector<FakeEngine> & { return engines_; }
    auto entryCount() const -> std::size_t { return entries_.size(); }
    auto random(std::uint64_t bound) -> std::uint64_t { return random_() % bound; }
    auto violations() const -> const std::vector<std::string> & { return violations_; }
    auto finished() const -> const std::vector<FinishedRequest> & { return finished_; }
    /// Groups whose leaseholder lets requests start now and whose members are all ready.
    auto servingGroups() const -> std::size_t;
    auto startedIn(const std::string &zone) const -> std::uint64_t;
    auto isZoneOf(std::size_t engine, const std::string &zone) const -> bool;

    /// Replaces a command of the planner; for measuring other ways.
    std::function<std::optional<Command>(const FleetState &, const Command &)> rewrite_;
    /// Whether spares get orders to load.
    bool preload_ = true;

private:
    using Snapshot = std::shared_ptr<const FleetState>;
    struct Request
    {
        RequestId id_;
        MonotonicTime arrivedAt_;
    };
    struct Entry
    {
        Entry(EntryId id, const ZoneName &zone, const RandomSource &random);

        EntryId id_;
        GroupWatch watch_;
        PermitTable permits_;
        GroupChooser chooser_;
        Snapshot state_;
        MonotonicTime frozenUntil_;
        MonotonicTime leaseUntil_;
        bool isStopped_ = false;
        std::deque<Request> waiting_;
        std::uint32_t asking_ = 0;
    };
    /// A request on its way through the fleet.
    struct Attempt
    {
        AttemptId id_;
        std::size_t entry_ = 0;
        Request request_;
        Choice choice_;
        MonotonicTime askedAt_;
    };

    auto isWhole(const GroupId &id) const -> bool;
    auto isUp(const Entry &entry) const -> bool;
    auto holdsLease(const Entry &entry) const -> bool;
    auto entryOf(const EntryId &id) -> Entry &;
    auto engineOf(const UpstreamId &id) -> std::size_t;
    auto delay() -> Duration;
    auto isDisordered() -> bool;
    auto apply(const Command &command) -> void;
    auto publish() -> void;
    auto liveEntries() const -> std::set<EntryId>;
    auto isRevoked(const GroupId &group) const -> bool;
    auto planTick() -> void;
    auto entryTick(std::size_t entry) -> void;
    auto leaseTick(std::size_t entry) -> void;
    auto announceTick(std::size_t engine) -> void;
    auto hear(std::size_t entry, std::size_t engine, const Announcement &announcement) -> void;
    auto sendOrder(const MemberOrder &order) -> void;
    auto arrivalTick() -> void;
    auto pump(std::size_t entry) -> void;
    auto ask(const Attempt &attempt) -> void;
    auto granted(const Attempt &attempt, const Permit &permit) -> void;
    auto refused(const Attempt &attempt) -> void;
    auto ended(const Attempt &attempt, const Permit &permit, PermitOutcome outcome) -> void;
    auto checkStart(const Attempt &attempt, const Permit &permit, std::size_t engine) -> void;
    auto checkState() -> void;
    auto fail(const std::string &what) -> void;
    auto operationId() -> OperationId;

    FleetPlan plan_;
    std::mt19937_64 random_;
    EventQueue queue_;
    StateMachine machine_;
    LogIndex index_ = 0;
    LogIndex published_ = 0;
    GroupPlanner planner_;
    std::vector<Entry> entries_;
    std::vector<FakeEngine> engines_;
    std::vector<MonotonicTime> pausedUntil_;
    std::vector<std::size_t> announceTo_;
    std::map<UpstreamId, std::size_t> engineOf_;
    std::map<std::string, MonotonicTime> zoneOutAt_;
    std::map<UpstreamId, MonotonicTime> drainingSince_;
    std::map<std::string, std::uint64_t> startedIn_;
    std::vector<std::string> violations_;
    std::vector<FinishedRequest> finished_;
    std::uint64_t requests_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t operations_ = 0;
};

} // namespace lycheereach
