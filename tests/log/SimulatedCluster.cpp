#include "log/SimulatedCluster.h"

#include <algorithm>

namespace lycheereach {

using namespace std::chrono_literals;

SimulatedCluster::SimulatedCluster(std::uint64_t seed, std::size_t nodes, std::size_t voters)
    : random_(seed)
    , seed_(seed)
    , voters_(voters)
    , nodes_(nodes)
{
    for (std::size_t i = 0; i < nodes; ++i) {
        nodes_[i].name_ = EntryId("n" + std::to_string(i));
        nodes_[i].disk_ = std::make_shared<MemoryDisk>();
        nodes_[i].clockOffset_ = std::chrono::milliseconds(random_() % 100'000);
    }
}

auto SimulatedCluster::now(std::size_t node) const -> MonotonicTime
{
    return MonotonicTime(elapsed_ + nodes_[node].clockOffset_);
}

auto SimulatedCluster::nodeIndex(const EntryId &name) const -> std::size_t
{
    return std::stoul(name.text().substr(1));
}

auto SimulatedCluster::addViolation(const std::string &text) -> void
{
    violations_ += "seed " + std::to_string(seed_) + ": " + text + "\n";
}

template <typename Call>
auto SimulatedCluster::runUntilCrash(std::size_t node, Call call) -> void
{
    try {
        call(*nodes_[node].replica_);
    } catch (const Crash &) {
        crash(node);
    }
    checkLeaders();
}

auto SimulatedCluster::countDownToCrash(std::size_t node) -> void
{
    auto &stepsLeft = nodes_[node].stepsUntilCrash_;
    if (stepsLeft && --*stepsLeft < 0) {
        stepsLeft.reset();
        throw Crash{};
    }
}

auto SimulatedCluster::hooks(std::size_t node) -> ReplicaHooks
{
    auto result = ReplicaHooks{};
    result.send_ = [this, node](const EntryId &to, const Json &message) {
        countDownToCrash(node);
        enqueue(node, to, message);
    };
    result.apply_ = [this, node](const LogRecord &record) {
        countDownToCrash(node);
        apply(node, record);
    };
    result.takeSnapshot_ = [this, node] { return Json(nodes_[node].appliedCommands_).dump(); };
    result.restore_ = [this, node](LogIndex index, const std::string &snapshot) {
        restore(node, index, snapshot);
    };
    result.random_ = [this] { return random_(); };
    result.event_ = [this](const Event &event) { events_.insert_or_assign(event.number_, event); };
    return result;
}

auto SimulatedCluster::start(std::size_t node) -> void
{
    auto &target = nodes_[node];
    if (target.replica_)
        return;
    auto settings = ReplicaSettings{};
    settings.self_ = target.name_;
    for (std::size_t i = 0; i < voters_; ++i)
        settings.initialVoters_.push_back(nodes_[i].name_);
    settings.heartbeatInterval_ = 40ms;
    settings.electionTimeout_ = 200ms;
    settings.snapshotAfterRecords_ = snapshotAfterRecords_;
    settings.appendLimitBytes_ = 64;
    target.disk_->beforeAndAfterWrite_ = [this, node] { countDownToCrash(node); };
    target.appliedCommands_.clear();
    target.appliedIndex_ = 0;
    target.replica_ = std::make_unique<Replica>(
        settings, std::make_unique<MemoryStorage>(target.disk_), hooks(node));
    runUntilCrash(node, [&](Replica &replica) {
        if (!replica.open(now(node)))
            addViolation("open failed");
        for (const auto &learner : nodes_)
            replica.addLearner(learner.name_);
    });
}

auto SimulatedCluster::crash(std::size_t node) -> void
{
    nodes_[node].replica_.reset();
    nodes_[node].pendingProposals_.clear();
    nodes_[node].stepsUntilCrash_.reset();
    nodes_[node].paused_ = false;
}

auto SimulatedCluster::loseDisk(std::size_t node) -> void
{
    crash(node);
    nodes_[node].disk_ = std::make_shared<MemoryDisk>();
}

auto SimulatedCluster::enqueue(std::size_t from, const EntryId &to, const Json &message) -> void
{
    const auto copies = random_() % 100 < duplicatePercent_ ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        if (random_() % 100 < dropPercent_)
            continue;
        const auto delay = Duration(random_() % static_cast<std::uint64_t>(maximumDelay_.count()));
        packets_.push_back({from, nodeIndex(to), message, elapsed_ + delay});
    }
}

auto SimulatedCluster::deliver() -> void
{
    auto due = std::vector<Packet>{};
    auto later = std::vector<Packet>{};
    for (auto &packet : packets_) {
        const auto isDelayed = packet.deliverAt_ > elapsed_ || nodes_[packet.to_].paused_;
        (isDelayed ? later : due).push_back(std::move(packet));
    }
    packets_ = std::move(later);
    for (const auto &packet : due) {
        const auto to = packet.to_;
        if (!nodes_[to].replica_ || isolatedNodes_.contains(to)
            || isolatedNodes_.contains(packet.from_))
            continue;
        runUntilCrash(to, [&](Replica &replica) {
            replica.receive(nodes_[packet.from_].name_, packet.message_, now(to));
        });
    }
}

auto SimulatedCluster::step(Duration duration) -> void
{
    elapsed_ += duration;
    deliver();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].replica_ && !nodes_[i].paused_)
            runUntilCrash(i, [&](Replica &replica) { replica.tick(now(i)); });
    }
}

auto SimulatedCluster::run(Duration duration) -> void
{
    for (const auto end = elapsed_ + duration; elapsed_ < end;)
        step(10ms);
}

auto SimulatedCluster::leaseHolder() const -> std::optional<std::size_t>
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (nodes_[i].replica_ && nodes_[i].replica_->holdsLeaderLease(now(i)))
            return i;
    }
    return std::nullopt;
}

auto SimulatedCluster::runUntilLeader() -> std::optional<std::size_t>
{
    for (const auto end = elapsed_ + 10s; elapsed_ < end && !leaseHolder();)
        step(10ms);
    return leaseHolder();
}

auto SimulatedCluster::propose(std::size_t node) -> Result<LogPosition>
{
    auto result = Result<LogPosition>(Failure{Error::Cancelled, "crashed"});
    runUntilCrash(node, [&](Replica &replica) {
        result = replica.propose("c" + std::to_string(nextCommand_++), now(node));
        if (!result)
            return;
        nodes_[node].pendingProposals_[result->index_] = *result;
        if (acknowledgedIndex_ >= result->index_ && replica.holdsLeaderLease(now(node)))
            addViolation("a command got an index at or below an acknowledged one");
        if (random_() % 2 == 0)
            replica.flush(now(node));
    });
    return result;
}

auto SimulatedCluster::changeVoters(std::size_t node, std::optional<EntryId> add,
                                    std::optional<EntryId> remove) -> Result<LogPosition>
{
    auto result = Result<LogPosition>(Failure{Error::Cancelled, "crashed"});
    runUntilCrash(node,
                  [&](Replica &replica) { result = replica.changeVoters(add, remove, now(node)); });
    return result;
}

auto SimulatedCluster::apply(std::size_t node, const LogRecord &record) -> void
{
    auto &target = nodes_[node];
    if (record.index_ != target.appliedIndex_ + 1)
        addViolation(target.name_.text() + " applied out of order");
    target.appliedIndex_ = record.index_;
    const auto [found, inserted] = committedRecords_.try_emplace(record.index_, record);
    if (!inserted && found->second != record)
        addViolation("two records at index " + std::to_string(record.index_));
    if (record.kind_ == RecordKind::StateCommand)
        target.appliedCommands_.push_back(record.payload_);
    const auto waiting = target.pendingProposals_.find(record.index_);
    if (waiting == target.pendingProposals_.end())
        return;
    if (waiting->second == record.position()) {
        ++acknowledgedCount_;
        acknowledgedIndex_ = std::max(acknowledgedIndex_, record.index_);
    }
    target.pendingProposals_.erase(waiting);
}

auto SimulatedCluster::restore(std::size_t node, LogIndex index, const std::string &snapshot)
    -> void
{
    auto &target = nodes_[node];
    target.appliedCommands_ = Json::parse(snapshot).get<std::vector<std::string>>();
    target.appliedIndex_ = index;
    auto expected = std::vector<std::string>{};
    for (const auto &[at, record] : committedRecords_) {
        if (at <= index && record.kind_ == RecordKind::StateCommand)
            expected.push_back(record.payload_);
    }
    if (expected != target.appliedCommands_)
        addViolation(target.name_.text()
                     + " restored commands that differ from the committed ones");
}

auto SimulatedCluster::checkLeaders() -> void
{
    auto holders = 0;
    auto newestTerm = Term(0);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto &replica = nodes_[i].replica_;
        if (!replica || replica->role() != ReplicaRole::Leader)
            continue;
        const auto [found, inserted] = leaderOfTerm_.try_emplace(replica->term(), nodes_[i].name_);
        if (!inserted && found->second != nodes_[i].name_)
            addViolation("two leaders in term " + std::to_string(replica->term()));
        newestTerm = std::max(newestTerm, replica->term());
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto &replica = nodes_[i].replica_;
        if (!replica || !replica->holdsLeaderLease(now(i)))
            continue;
        if (++holders > 1 || replica->term() < newestTerm)
            addViolation("a lease is held while another replica holds one or leads a later term");
        if (nodes_[i].appliedIndex_ < acknowledgedIndex_)
            addViolation("the lease holder lacks an acknowledged command");
    }
}

auto SimulatedCluster::replicasAgree() -> bool
{
    const auto leader = leaseHolder();
    if (!leader || nodes_[*leader].appliedIndex_ < acknowledgedIndex_)
        return false;
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto &node) {
        return node.appliedIndex_ == nodes_[*leader].appliedIndex_
            && node.appliedCommands_ == nodes_[*leader].appliedCommands_;
    });
}

auto SimulatedCluster::heal() -> void
{
    reconnectAll();
    dropPercent_ = 0;
    duplicatePercent_ = 0;
    maximumDelay_ = 5ms;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i].paused_ = false;
        nodes_[i].stepsUntilCrash_.reset();
        nodes_[i].disk_->full_ = false;
        nodes_[i].disk_->syncFails_ = false;
        nodes_[i].disk_->snapshotFails_ = false;
        start(i);
    }
    for (const auto end = elapsed_ + 20s; elapsed_ < end && !replicasAgree();)
        step(10ms);
    if (!replicasAgree())
        addViolation("no agreement after all faults ended:" + describeNodes());
}

auto SimulatedCluster::describeNodes() const -> std::string
{
    auto text = std::string{};
    for (const auto &node : nodes_) {
        const auto &replica = *node.replica_;
        text += "\n  " + node.name_.text() + " role "
            + std::to_string(static_cast<int>(replica.role())) + " term "
            + std::to_string(replica.term()) + " last " + std::to_string(replica.lastIndex())
            + " commit " + std::to_string(replica.commitIndex()) + " applied "
            + std::to_string(node.appliedIndex_) + " voters " + toPayload(replica.voters());
    }
    return text;
}

} // namespace lycheereach
