/// \file
/// \brief Replicas on one simulated clock, network and set of disks, with invariants checked.
#pragma once

#include "log/MemoryStorage.h"
#include "log/Replica.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// A replica with its disk, or what a crash left of it.
struct SimulatedNode
{
    EntryId name_;
    std::shared_ptr<MemoryDisk> disk_;
    std::unique_ptr<Replica> replica_;
    Duration clockOffset_ = Duration(0);
    bool paused_ = false;
    /// Crash at this many writes, sends and applies from now.
    std::optional<int> stepsUntilCrash_;
    std::vector<std::string> appliedCommands_;
    LogIndex appliedIndex_ = 0;
    std::map<LogIndex, LogPosition> pendingProposals_;
};

/// Checks after every event: one leader a term, one record an index, no acknowledged command lost
/// or reordered, and that the holder of the lease has applied all that was acknowledged.
class SimulatedCluster
{
public:
    SimulatedCluster(std::uint64_t seed, std::size_t nodes, std::size_t voters);

    auto start(std::size_t node) -> void;
    auto crash(std::size_t node) -> void;
    auto loseDisk(std::size_t node) -> void;
    /// Lets \a duration pass in small steps.
    auto run(Duration duration) -> void;
    auto step(Duration duration) -> void;
    /// Runs until a leader holds the lease, at most for ten seconds.
    auto runUntilLeader() -> std::optional<std::size_t>;
    /// Proposes a fresh command at \a node and flushes.
    auto propose(std::size_t node) -> Result<LogPosition>;
    auto changeVoters(std::size_t node, std::optional<EntryId> add, std::optional<EntryId> remove)
        -> Result<LogPosition>;
    auto isolate(std::size_t node) -> void { isolatedNodes_.insert(node); }
    auto reconnectAll() -> void { isolatedNodes_.clear(); }
    /// Ends all faults and runs until all replicas agree; a violation when they don't.
    auto heal() -> void;
    auto replicasAgree() -> bool;

    [[nodiscard]] auto leaseHolder() const -> std::optional<std::size_t>;
    auto node(std::size_t index) -> SimulatedNode & { return nodes_[index]; }
    auto replica(std::size_t index) -> Replica & { return *nodes_[index].replica_; }
    [[nodiscard]] auto size() const -> std::size_t { return nodes_.size(); }
    [[nodiscard]] auto now(std::size_t node) const -> MonotonicTime;
    [[nodiscard]] auto acknowledged() const -> std::size_t { return acknowledgedCount_; }
    [[nodiscard]] auto violations() const -> const std::string & { return violations_; }

    std::mt19937_64 random_;
    /// In percent of all messages.
    unsigned dropPercent_ = 0;
    unsigned duplicatePercent_ = 0;
    Duration maximumDelay_ = std::chrono::milliseconds(5);
    std::size_t snapshotAfterRecords_ = 8;
    std::set<EventNumber> events_;

private:
    struct Packet
    {
        std::size_t from_;
        std::size_t to_;
        Json message_;
        Duration deliverAt_;
    };

    template <typename Call>
    auto runUntilCrash(std::size_t node, Call call) -> void;
    auto hooks(std::size_t node) -> ReplicaHooks;
    auto enqueue(std::size_t from, const EntryId &to, const Json &message) -> void;
    auto deliver() -> void;
    auto apply(std::size_t node, const LogRecord &record) -> void;
    auto restore(std::size_t node, LogIndex index, const std::string &snapshot) -> void;
    auto countDownToCrash(std::size_t node) -> void;
    auto checkLeaders() -> void;
    auto describeNodes() const -> std::string;
    auto addViolation(const std::string &text) -> void;
    auto nodeIndex(const EntryId &name) const -> std::size_t;

    std::uint64_t seed_;
    std::size_t voters_;
    std::vector<SimulatedNode> nodes_;
    Duration elapsed_ = std::chrono::seconds(100);
    std::vector<Packet> packets_;
    std::set<std::size_t> isolatedNodes_;
    std::uint64_t nextCommand_ = 1;
    std::map<Term, EntryId> leaderOfTerm_;
    std::map<LogIndex, LogRecord> committedRecords_;
    LogIndex acknowledgedIndex_ = 0;
    std::size_t acknowledgedCount_ = 0;
    std::string violations_;
};

} // namespace lycheereach
