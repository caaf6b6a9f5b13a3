/// \file
/// \brief Control services on one simulated clock, network and set of disks, with their invariants
/// checked.
#pragma once

#include "control/ControlService.h"
#include "log/MemoryStorage.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// A control service with its disk, or what the end of its process left.
struct ControlNode
{
    EntryRecord self_;
    /// Null on an entry that keeps no log.
    std::shared_ptr<MemoryDisk> disk_;
    std::unique_ptr<ControlService> service_;
    std::vector<std::function<void()>> posted_;
    bool frozen_ = false;
    /// Of the present run.
    Version seenVersion_ = 0;
    /// The newest version under which any run took work.
    Version workedVersion_ = 0;
};

/// Checks after every step: an entry that has not applied an operation in force takes no work, no
/// version reverts, and one operation id has one outcome.
class ControlFleet
{
public:
    ControlFleet(std::uint64_t seed, std::size_t voters, std::size_t plainEntries);
    ~ControlFleet();
    ControlFleet(const ControlFleet &) = delete;
    auto operator=(const ControlFleet &) -> ControlFleet & = delete;

    auto start(std::size_t node) -> void;
    /// Ends the process; the disk stays.
    auto stop(std::size_t node) -> void;
    auto loseDisk(std::size_t node) -> void;
    /// Lets \a duration pass in small steps.
    auto run(Duration duration) -> void;
    /// Runs until \a condition holds, at most for \a limit; whether it did.
    auto runUntil(const std::function<bool()> &condition, Duration limit = std::chrono::seconds(30))
        -> bool;
    /// Runs until a leader holds its lease and every entry takes work.
    auto runUntilReady() -> bool;
    /// One random fault or the end of one.
    auto randomFault() -> void;
    /// Ends all faults and starts what is stopped.
    auto heal() -> void;

    /// Proposes at \a node; the outcome is checked against earlier ones of that operation.
    auto propose(std::size_t node, const OperationId &operation, const Command &command) -> void;
    /// Proposes a change of a zone under a fresh operation id.
    auto proposeFresh(std::size_t node) -> OperationId;

    [[nodiscard]] auto leader() const -> std::optional<std::size_t>;
    /// Whether the leader counts everything that it has applied as in force.
    [[nodiscard]] auto allInForce() const -> bool;
    [[nodiscard]] auto phaseOf(std::size_t node) const -> std::optional<EntryPhase>;
    [[nodiscard]] auto now() const -> MonotonicTime { return MonotonicTime(elapsed_); }
    auto node(std::size_t index) -> ControlNode & { return nodes_[index]; }
    auto service(std::size_t index) -> ControlService & { return *nodes_[index].service_; }
    [[nodiscard]] auto size() const -> std::size_t { return nodes_.size(); }
    [[nodiscard]] auto random(std::size_t below) -> std::size_t { return random_() % below; }
    [[nodiscard]] auto violations() const -> const std::string & { return violations_; }

    /// Messages between the two are dropped.
    std::set<std::size_t> cut_;
    /// In percent of all messages.
    unsigned dropped_ = 0;
    unsigned duplicated_ = 0;
    Duration maximumDelay_ = std::chrono::milliseconds(5);
    /// Of messages from and to plain entries.
    Duration maximumPlainDelay_ = std::chrono::milliseconds(5);
    /// Whether a message is dropped, by its sender, receiver and method.
    std::function<bool(std::size_t, std::size_t, const std::string &)> filter_;
    std::size_t snapshotAfterRecords_ = 2000;
    /// As in ControlSettings.
    Duration renewWithoutLease_ = std::chrono::milliseconds(500);
    std::optional<Duration> entryPatience_;
    std::size_t grantors_ = 1;
    /// What callbacks told, by operation.
    std::map<OperationId, OperationOutcome> outcomes_;
    std::size_t asked_ = 0;
    std::size_t answered_ = 0;
    std::size_t unknown_ = 0;
    EventSink event_;

private:
    struct Packet
    {
        std::size_t from_;
        std::size_t to_;
        std::string method_;
        Json params_;
        Duration due_;
    };

    auto step() -> void;
    auto hooks(std::size_t node) -> ControlHooks;
    auto take(std::size_t from, const EntryId &to, const std::string &method, const Json &params)
        -> void;
    auto deliver() -> void;
    auto noteOutcome(const OperationId &asked, const Result<CommandOutcome> &result) -> void;
    auto noteOperations(const FleetState &state) -> void;
    auto check() -> void;
    auto checkNode(ControlNode &node, LogIndex required) -> void;
    auto violate(const std::string &text) -> void;

    std::mt19937_64 random_;
    std::uint64_t seed_;
    std::vector<EntryId> voters_;
    std::vector<ControlNode> nodes_;
    std::vector<Packet> packets_;
    Duration elapsed_ = std::chrono::seconds(100);
    std::uint64_t nextOperation_ = 1;
    /// Indexes of accepted operations.
    std::set<LogIndex> operations_;
    std::string violations_;
};

} // namespace lycheereach
