/// \file
/// \brief A simulated fleet that runs the real planners, state machine and permits.
#pragma once

#include "groups/EventQueue.h"
#include "groups/FakeEngine.h"
#include "groups/GroupHealthMonitor.h"
#include "groups/GroupPlanner.h"
#include "routing/GroupChooser.h"
#include "routing/PermitTable.h"
#include "state/StateMachine.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lycheereach {

/// The size of a simulated fleet, its load and the faults of its network.
struct FleetOptions
{
    std::uint64_t seed_ = 1;
    std::vector<std::string> zones_ = {"talca", "curico", "linares"};
    /// Instances of each fabric domain; the domains are assigned to the zones in turn.
    std::vector<std::size_t> domainSizes_ = {9, 8, 9};
    std::size_t entryCount_ = 6;
    std::uint32_t instancesPerGroup_ = 4;
    /// The most groups to form; 0 for as many as fit.
    std::uint32_t groupLimit_ = 0;
    Policy policy_;
    FakeEngine::Settings engine_;
    /// Requests that arrive in a second at all entries together; 0 for none.
    double requestRate_ = 0;
    /// The mean duration of a request.
    Duration serviceTime_ = std::chrono::milliseconds(400);
    /// How long a request may wait for its start before it is shed.
    Duration requestTimeout_ = std::chrono::seconds(10);
    /// The probability of each network fault that an order or announcement may suffer: that it is
    /// late, sent twice or, for an order, lost.
    double networkFaultRate_ = 0;
};

/// A caller's request that was started or shed.
struct StartOutcome
{
    MonotonicTime arrivedAt_;
    /// The wait until it started; nothing when it was shed.
    std::optional<Duration> waitTime_;
};

/// Simulates a control instance, entries, engines and callers around the real planner, state
/// machine, group watches, permit tables and group choosers. Each fault has a function that injects
/// it; violations() lists the invariants that were broken.
class FakeFleet
{
public:
    explicit FakeFleet(FleetOptions plan);

    auto run(Duration duration) -> void;
    auto now() const -> MonotonicTime { return queue_.now(); }

    auto kill(std::size_t engine) -> void;
    auto restart(std::size_t engine) -> void;
    /// The engine keeps its state, but neither announces nor answers for \a duration.
    auto pause(std::size_t engine, Duration duration) -> void;
    auto freezeEntry(std::size_t entry, Duration duration) -> void;
    auto stopEntry(std::size_t entry) -> void;
    auto setZone(const std::string &zone, bool out) -> void;
    auto drain(std::size_t engine, bool draining) -> void;
    /// Resets the planner as at the start of a term of leadership.
    auto changeLeader() -> void;
    /// Ends all network faults: later messages are neither late, sent twice nor lost.
    auto stopNetworkFaults() -> void;

    auto state() const -> const FleetState & { return stateMachine_.state(); }
    auto engines() -> std::vector<FakeEngine> & { return engines_; }
    auto entryCount() const -> std::size_t { return entries_.size(); }
    auto random(std::uint64_t bound) -> std::uint64_t { return random_() % bound; }
    auto violations() const -> const std::vector<std::string> & { return violations_; }
    auto startOutcomes() const -> const std::vector<StartOutcome> & { return startOutcomes_; }
    /// The number of groups whose leaseholder grants permits now and whose members are all ready.
    auto servingGroups() const -> std::size_t;
    /// Requests that have started in \a zone.
    auto startedIn(const std::string &zone) const -> std::uint64_t;
    auto isInZone(std::size_t engine, const std::string &zone) const -> bool;

    /// Replaces or drops a command of the planner, to measure other policies; unused when empty.
    std::function<std::optional<Command>(const FleetState &, const Command &)> rewriteCommand_;
    /// Whether orders to load weights onto spares are delivered.
    bool deliversSpareLoads_ = true;

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
        GroupHealthMonitor monitor_;
        PermitTable permits_;
        GroupChooser chooser_;
        Snapshot state_;
        MonotonicTime frozenUntil_;
        MonotonicTime leaseUntil_;
        bool isStopped_ = false;
        std::deque<Request> waiting_;
        std::uint32_t permitsRequested_ = 0;
    };
    /// An attempt to start a request in a group.
    struct Attempt
    {
        AttemptId id_;
        std::size_t entry_ = 0;
        Request request_;
        GroupChoice choice_;
        MonotonicTime askedAt_;
    };

    auto areAllMembersReady(const GroupId &id) const -> bool;
    auto isRunning(const Entry &entry) const -> bool;
    auto holdsLease(const Entry &entry) const -> bool;
    auto entryOf(const EntryId &id) -> Entry &;
    auto engineOf(const UpstreamId &id) -> std::size_t;
    auto delay() -> Duration;
    auto drawNetworkFault() -> bool;
    auto apply(const Command &command) -> void;
    auto publish() -> void;
    auto liveEntries() const -> std::set<EntryId>;
    auto isRevoked(const GroupId &group) const -> bool;
    auto planTick() -> void;
    auto entryTick(std::size_t entry) -> void;
    auto leaseTick(std::size_t entry) -> void;
    auto announceTick(std::size_t engine) -> void;
    auto deliverAnnouncement(std::size_t entry, std::size_t engine,
                             const Announcement &announcement) -> void;
    auto sendOrder(const EngineOrder &order) -> void;
    auto arrivalTick() -> void;
    auto dispatchWaiting(std::size_t entry) -> void;
    auto requestPermit(const Attempt &attempt) -> void;
    auto onPermitGranted(const Attempt &attempt, const Permit &permit) -> void;
    auto onPermitRefused(const Attempt &attempt) -> void;
    auto onAttemptEnded(const Attempt &attempt, const Permit &permit, PermitOutcome outcome)
        -> void;
    /// Checks the invariants that hold whenever a request starts on an engine.
    auto checkStart(const Attempt &attempt, const Permit &permit, std::size_t engine) -> void;
    /// Checks the invariants of the replicated state.
    auto checkState() -> void;
    auto recordViolation(const std::string &what) -> void;
    auto operationId() -> OperationId;

    FleetOptions plan_;
    std::mt19937_64 random_;
    EventQueue queue_;
    StateMachine stateMachine_;
    LogIndex index_ = 0;
    LogIndex publishedIndex_ = 0;
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
    std::vector<StartOutcome> startOutcomes_;
    std::uint64_t requests_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t operations_ = 0;
};

} // namespace lycheereach
