/// \file
/// \brief Replicas on a simulated clock, network and disks, with checks of the invariants.
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

/// A replica with its disk; after a crash only the disk.
struct SimulatedNode
{
    EntryId name_;
    std::shared_ptr<MemoryDisk> disk_;
    std::unique_ptr<Replica> replica_;
    Duration clockOffset_ = Duration(0);
    /// The process neither runs nor receives messages.
    bool paused_ = false;
    /// The node crashes after this many more disk, send and apply steps; nullopt for no crash.
    std::optional<int> stepsUntilCrash_;
    std::vector<std::string> appliedCommands_;
    LogIndex appliedIndex_ = 0;
    /// Positions of proposals that have not been applied yet.
    std::map<LogIndex, LogPosition> pendingProposals_;
};

/// Checks after every event that there is one leader per term and one record per index, that no
/// acknowledged command is lost or reordered, and that the lease holder has applied every
/// acknowledged command.
class SimulatedCluster
{
public:
    SimulatedCluster(std::uint64_t seed, std::size_t nodes, std::size_t voters);

    auto start(std::size_t node) -> void;
    auto crash(std::size_t node) -> void;
    auto loseDisk(std::size_t node) -> void;
    /// Runs for \a duration in steps of 10 ms.
    auto run(Duration duration) -> void;
    auto step(Duration duration) -> void;
    /// Runs until a leader holds the lease, at most for ten seconds.
    auto runUntilLeader() -> std::optional<std::size_t>;
    /// Proposes a new command at \a node and flushes it in half of the cases.
    auto propose(std::size_t node) -> Result<LogPosition>;
    auto changeVoters(std::size_t node, std::optional<EntryId> add, std::optional<EntryId> remove)
        -> Result<LogPosition>;
    /// Drops all messages from and to \a node until reconnectAll().
    auto isolate(std::size_t node) -> void { isolatedNodes_.insert(node); }
    auto reconnectAll() -> void { isolatedNodes_.clear(); }
    /// Ends all faults and runs until all replicas agree; it is a violation if they do not within
    /// 20 s.
    auto heal() -> void;
    /// Whether all replicas have applied the same commands as the lease holder.
    auto replicasAgree() -> bool;

    [[nodiscard]] auto leaseHolder() const -> std::optional<std::size_t>;
    auto node(std::size_t index) -> SimulatedNode & { return nodes_[index]; }
    auto replica(std::size_t index) -> Replica & { return *nodes_[index].replica_; }
    [[nodiscard]] auto size() const -> std::size_t { return nodes_.size(); }
    [[nodiscard]] auto now(std::size_t node) const -> MonotonicTime;
    [[nodiscard]] auto acknowledged() const -> std::size_t { return acknowledgedCount_; }
    [[nodiscard]] auto violations() const -> const std::string & { return violations_; }

    std::mt19937_64 random_;
    /// Percentage of all messages.
    unsigned dropPercent_ = 0;
    unsigned duplicatePercent_ = 0;
    Duration maximumDelay_ = std::chrono::milliseconds(5);
    std::size_t snapshotAfterRecords_ = 8;
    /// The last event of each number.
    std::map<EventNumber, Event> events_;

private:
    struct Packet
    {
        std::size_t from_;
        std::size_t to_;
        Json message_;
        Duration deliverAt_;
    };

    template <typename Call>
    /// Calls \a call on the replica of \a node; a Crash that it throws stops the node. Then checks
    /// the invariants.
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
    /// Simulated time; each node's clock adds its own offset.
    Duration elapsed_ = std::chrono::seconds(100);
    std::vector<Packet> packets_;
    std::set<std::size_t> isolatedNodes_;
    std::uint64_t nextCommand_ = 1;
    std::map<Term, EntryId> leaderOfTerm_;
    std::map<LogIndex, LogRecord> committedRecords_;
    /// The highest index of these commands.
    LogIndex acknowledgedIndex_ = 0;
    /// The number of commands that their proposer saw committed.
    std::size_t acknowledgedCount_ = 0;
    std::string violations_;
};

} // namespace lycheereach
