/// \file
/// \brief Simulates several control services on one clock, network and set of disks and checks
/// their invariants.
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

/// One simulated process: a control service and its disk, which survives a stop of the process.
struct ControlNode
{
    EntryRecord self_;
    /// Null on an entry without a log.
    std::shared_ptr<MemoryDisk> disk_;
    /// ControlSettings::initialVoters_ of the next run.
    std::vector<EntryId> seeds_;
    /// Null while the process is stopped.
    std::unique_ptr<ControlService> service_;
    /// Functions queued through ControlHooks::post_.
    std::vector<std::function<void()>> posted_;
    /// The peers whose addresses the process was told in its present run.
    std::set<EntryId> knownPeers_;
    /// Whether the process is suspended; messages to it are held back.
    bool frozen_ = false;
    /// The version at the last check in the current run of the process.
    Version checkedVersion_ = 0;
    /// The newest version under which any run of the process took work.
    Version workedVersion_ = 0;
};

/// Runs control services in simulated time. A message reaches a process whose address its sender
/// was told, or that was told the sender's and so is connected to it. Checks after every step that
/// an entry which has not applied an operation in force takes no work, that no version reverts and
/// that an operation id has one outcome only.
class ControlFleet
{
public:
    /// \a voters processes keep the log, \a entriesWithoutLog more do not.
    ControlFleet(std::uint64_t seed, std::size_t voters, std::size_t entriesWithoutLog);
    ~ControlFleet();
    ControlFleet(const ControlFleet &) = delete;
    auto operator=(const ControlFleet &) -> ControlFleet & = delete;

    /// Adds a process that keeps the log, has an empty disk and knows the running ones that keep
    /// it; returns its index. It has to be started.
    auto addControlNode() -> std::size_t;
    auto start(std::size_t node) -> void;
    /// Ends the process without a shutdown; its disk is kept.
    auto stop(std::size_t node) -> void;
    /// Replaces the disk of a stopped process by an empty one.
    auto loseDisk(std::size_t node) -> void;
    /// Advances the simulation by \a duration in small steps.
    auto run(Duration duration) -> void;
    /// Runs until \a condition holds, at most for \a limit; returns whether it holds.
    auto runUntil(const std::function<bool()> &condition, Duration limit = std::chrono::seconds(30))
        -> bool;
    /// Runs until a leader holds its lease and every process may take work; returns whether they
    /// do.
    auto runUntilReady() -> bool;
    /// Injects one random fault or ends faults.
    auto randomFault() -> void;
    /// Ends all faults and starts the stopped processes.
    auto heal() -> void;

    /// Proposes \a command at \a node and compares its outcome with earlier outcomes of \a
    /// operation.
    auto propose(std::size_t node, const OperationId &operation, const Command &command) -> void;
    /// Proposes a new declaration under a new operation id, which it returns.
    auto proposeDeclaration(std::size_t node) -> OperationId;

    [[nodiscard]] auto leader() const -> std::optional<std::size_t>;
    /// Whether every operation that the leader has applied is in force.
    [[nodiscard]] auto allInForce() const -> bool;
    /// The phase of the entry of \a node in the state of the leader; nothing without a leader.
    [[nodiscard]] auto phaseOf(std::size_t node) const -> std::optional<EntryPhase>;
    [[nodiscard]] auto now() const -> MonotonicTime { return MonotonicTime(elapsed_); }
    auto node(std::size_t index) -> ControlNode & { return nodes_[index]; }
    auto service(std::size_t index) -> ControlService & { return *nodes_[index].service_; }
    [[nodiscard]] auto size() const -> std::size_t { return nodes_.size(); }
    [[nodiscard]] auto random(std::size_t below) -> std::size_t { return random_() % below; }
    [[nodiscard]] auto violations() const -> const std::string & { return violations_; }

    /// All messages from and to these nodes are dropped.
    std::set<std::size_t> isolatedNodes_;
    /// Share of all messages that are lost, and of those that are sent twice, in percent.
    unsigned dropPercent_ = 0;
    unsigned duplicatePercent_ = 0;
    Duration maximumDelay_ = std::chrono::milliseconds(5);
    /// The longest delay of messages from and to entries without a log, if above maximumDelay_.
    Duration maximumEntryDelay_ = std::chrono::milliseconds(5);
    /// Returns whether to drop a message, given its sender, receiver and method.
    std::function<bool(std::size_t, std::size_t, const std::string &)> dropsMessage_;
    /// The settings of processes that are started; their records and voters are set for each.
    ControlSettings settings_;
    /// The outcomes received by proposal callbacks.
    std::map<OperationId, OperationOutcome> outcomes_;
    /// Proposals made, callbacks received, and callbacks with a failure.
    std::size_t proposed_ = 0;
    std::size_t answered_ = 0;
    std::size_t failed_ = 0;
    EventSink event_;

private:
    struct Packet
    {
        std::size_t from_;
        std::size_t to_;
        std::string method_;
        Json params_;
        Duration deliverAt_;
    };

    auto step() -> void;
    auto hooks(std::size_t node) -> ControlHooks;
    auto sendMessage(std::size_t from, const EntryId &to, const std::string &method,
                     const Json &params) -> void;
    /// Whether there is a connection between the two, opened by either of them.
    [[nodiscard]] auto isConnected(std::size_t from, std::size_t to) const -> bool;
    auto deliver() -> void;
    auto checkOutcome(const OperationId &expected, const Result<CommandOutcome> &result) -> void;
    auto collectAcceptedIndexes(const FleetState &state) -> void;
    auto checkInvariants() -> void;
    auto checkNode(ControlNode &node, LogIndex required) -> void;
    auto addViolation(const std::string &text) -> void;

    std::mt19937_64 random_;
    std::uint64_t seed_;
    std::vector<ControlNode> nodes_;
    std::vector<Packet> packets_;
    Duration elapsed_ = std::chrono::seconds(100);
    std::uint64_t nextOperation_ = 1;
    /// Log indexes of accepted operations.
    std::set<LogIndex> acceptedIndexes_;
    std::string violations_;
};

} // namespace lycheereach
