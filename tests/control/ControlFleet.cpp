#include "control/ControlFleet.h"

#include <algorithm>

namespace lycheereach {

using namespace std::chrono_literals;

namespace {

constexpr auto stepDuration = Duration(20ms);
constexpr auto firstPort = std::size_t{8000};
constexpr auto percent = 100U;
constexpr auto firstIncarnation = 1000U;

auto makeRecord(std::size_t index, bool keepsLog) -> EntryRecord
{
    return EntryRecord{.id_ = EntryId("e" + std::to_string(index)),
                       .incarnation_ = firstIncarnation,
                       .zone_ = ZoneName("z" + std::to_string(index % 3)),
                       .address_ = "127.0.0.1:" + std::to_string(firstPort + index),
                       .peerAddress_ = "127.0.0.2:" + std::to_string(firstPort + index),
                       .control_ = keepsLog};
}

} // namespace

ControlFleet::ControlFleet(std::uint64_t seed, std::size_t voters, std::size_t entriesWithoutLog)
    : random_(seed)
    , seed_(seed)
    , nodes_(voters + entriesWithoutLog)
{
    auto seeds = std::vector<EntryId>{};
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        auto &node = nodes_[index];
        node.self_ = makeRecord(index, index < voters);
        if (!node.self_.control_)
            continue;
        node.disk_ = std::make_shared<MemoryDisk>();
        seeds.push_back(node.self_.id_);
    }
    for (auto &node : nodes_)
        node.seeds_ = seeds;
}

ControlFleet::~ControlFleet() = default;

auto ControlFleet::addViolation(const std::string &text) -> void
{
    if (violations_.size() < 2000)
        violations_ += "seed " + std::to_string(seed_) + " at "
            + std::to_string(toMilliseconds(elapsed_)) + " ms: " + text + "\n";
}

auto ControlFleet::addControlNode() -> std::size_t
{
    auto added = ControlNode{.self_ = makeRecord(nodes_.size(), true),
                             .disk_ = std::make_shared<MemoryDisk>()};
    for (const auto &node : nodes_) {
        if (node.service_ != nullptr && node.disk_ != nullptr)
            added.seeds_.push_back(node.self_.id_);
    }
    nodes_.push_back(std::move(added));
    return nodes_.size() - 1;
}

auto ControlFleet::start(std::size_t node) -> void
{
    auto &target = nodes_[node];
    ++target.self_.incarnation_;
    target.checkedVersion_ = 0;
    auto settings = settings_;
    settings.ownRecord_ = target.self_;
    settings.initialVoters_ = target.seeds_;
    auto storage = std::unique_ptr<LogStorage>();
    if (target.disk_)
        storage = std::make_unique<MemoryStorage>(target.disk_);
    target.knownPeers_ = {target.seeds_.begin(), target.seeds_.end()};
    target.service_ = std::make_unique<ControlService>(settings, std::move(storage), hooks(node));
    if (!target.service_->open())
        addViolation(target.self_.id_.text() + " failed to open its log");
}

auto ControlFleet::stop(std::size_t node) -> void
{
    nodes_[node].service_.reset();
    nodes_[node].posted_.clear();
}

auto ControlFleet::loseDisk(std::size_t node) -> void
{
    nodes_[node].disk_ = std::make_shared<MemoryDisk>();
}

auto ControlFleet::hooks(std::size_t node) -> ControlHooks
{
    auto result = ControlHooks{};
    result.send_ = [this, node](const EntryId &to, const std::string &method, const Json &params) {
        sendMessage(node, to, method, params);
    };
    result.sendReplacingQueued_ = result.send_;
    result.sendAll_ = [this, node](const std::vector<EntryId> &to, const std::string &method,
                                   const Json &params) {
        for (const auto &receiver : to)
            sendMessage(node, receiver, method, params);
    };
    result.setPeerAddress_ = [this, node](const EntryId &peer, const std::string &address) {
        if (!address.empty())
            nodes_[node].knownPeers_.insert(peer);
    };
    result.post_ = [this, node](std::function<void()> call) {
        nodes_[node].posted_.push_back(std::move(call));
    };
    result.onStateChanged_ = [] {};
    result.event_ = [this](const Event &event) {
        if (event_)
            event_(event);
    };
    result.now_ = [this] { return now(); };
    result.wallNow_ = [] { return WallTime(); };
    result.random_ = [this] { return random_(); };
    return result;
}

auto ControlFleet::sendMessage(std::size_t from, const EntryId &to, const std::string &method,
                               const Json &params) -> void
{
    const auto target = std::stoul(to.text().substr(1));
    if (isolatedNodes_.contains(from) || isolatedNodes_.contains(target)
        || random_() % percent < dropPercent_ || !isConnected(from, target))
        return;
    if (dropsMessage_ && dropsMessage_(from, target, method))
        return;
    const auto copies = random_() % percent < duplicatePercent_ ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        const auto isEntryMessage = !nodes_[from].disk_ || !nodes_[target].disk_;
        const auto maximum
            = isEntryMessage ? std::max(maximumDelay_, maximumEntryDelay_) : maximumDelay_;
        const auto range = static_cast<std::uint64_t>(maximum.count()) + 1;
        const auto delay = Duration(static_cast<std::int64_t>(random_() % range));
        packets_.push_back({from, target, method, params, elapsed_ + delay});
    }
}

auto ControlFleet::isConnected(std::size_t from, std::size_t to) const -> bool
{
    const auto &sender = nodes_[from];
    const auto &receiver = nodes_[to];
    return receiver.service_ != nullptr
        && (sender.knownPeers_.contains(receiver.self_.id_)
            || receiver.knownPeers_.contains(sender.self_.id_));
}

auto ControlFleet::deliver() -> void
{
    auto due = std::vector<Packet>();
    auto later = std::vector<Packet>();
    for (auto &packet : packets_) {
        const auto isDue = packet.deliverAt_ <= elapsed_ && !nodes_[packet.to_].frozen_;
        (isDue ? due : later).push_back(std::move(packet));
    }
    packets_ = std::move(later);
    for (const auto &packet : due) {
        const auto &target = nodes_[packet.to_];
        if (target.service_ != nullptr)
            target.service_->receive(nodes_[packet.from_].self_.id_, packet.method_,
                                     packet.params_);
    }
}

auto ControlFleet::step() -> void
{
    elapsed_ += stepDuration;
    deliver();
    for (auto &node : nodes_) {
        if (node.service_ == nullptr || node.frozen_)
            continue;
        node.service_->tick();
        const auto calls = std::exchange(node.posted_, {});
        for (const auto &call : calls)
            call();
    }
    checkInvariants();
}

auto ControlFleet::run(Duration duration) -> void
{
    const auto end = elapsed_ + duration;
    while (elapsed_ < end)
        step();
}

auto ControlFleet::runUntil(const std::function<bool()> &condition, Duration limit) -> bool
{
    const auto end = elapsed_ + limit;
    while (!condition() && elapsed_ < end)
        step();
    return condition();
}

auto ControlFleet::runUntilReady() -> bool
{
    return runUntil([this] {
        const auto takesWork = [](const ControlNode &node) {
            return node.service_ != nullptr && node.service_->mayTakeWork();
        };
        return leader() && std::all_of(nodes_.begin(), nodes_.end(), takesWork);
    });
}

auto ControlFleet::randomFault() -> void
{
    const auto index = random(nodes_.size());
    auto &target = nodes_[index];
    switch (random(6)) {
    case 0:
        target.frozen_ = !target.frozen_;
        break;
    case 1:
        stop(index);
        target.frozen_ = false;
        start(index);
        break;
    case 2:
        if (target.service_ != nullptr)
            stop(index);
        else
            start(index);
        break;
    case 3:
        isolatedNodes_.insert(index);
        break;
    default:
        isolatedNodes_.clear();
        for (auto &node : nodes_)
            node.frozen_ = node.frozen_ && random(2) == 0;
        break;
    }
}

auto ControlFleet::heal() -> void
{
    isolatedNodes_.clear();
    dropPercent_ = 0;
    duplicatePercent_ = 0;
    dropsMessage_ = nullptr;
    maximumDelay_ = 5ms;
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        nodes_[index].frozen_ = false;
        if (nodes_[index].service_ == nullptr)
            start(index);
    }
}

auto ControlFleet::propose(std::size_t node, const OperationId &operation, const Command &command)
    -> void
{
    auto &target = nodes_[node];
    if (target.service_ == nullptr || target.frozen_)
        return;
    ++proposed_;
    target.service_->propose(command, [this, operation](const Result<CommandOutcome> &result) {
        checkOutcome(operation, result);
    });
}

auto ControlFleet::proposeDeclaration(std::size_t node) -> OperationId
{
    const auto operation = OperationId("op-" + std::to_string(nextOperation_++));
    propose(node, operation,
            ApplyDeclaration{.operation_ = operation,
                             .fromVersion_ = service(node).readState(
                                 [](const auto &state) { return state.version_; }),
                             .declaration_ = {.zones_ = {ZoneName(operation.text())}}});
    return operation;
}

auto ControlFleet::checkOutcome(const OperationId &expected, const Result<CommandOutcome> &result)
    -> void
{
    ++answered_;
    if (!result) {
        ++failed_;
        return;
    }
    if (!result->operation_ || result->operation_->operation_ != expected) {
        addViolation(expected.text() + " received the outcome of another command");
        return;
    }
    const auto &outcome = *result->operation_;
    const auto [found, isNew] = outcomes_.try_emplace(outcome.operation_, outcome);
    if (!isNew && found->second != outcome)
        addViolation("two different outcomes of " + outcome.operation_.text());
}

auto ControlFleet::collectAcceptedIndexes(const FleetState &state) -> void
{
    for (auto item = state.operations_.rbegin(); item != state.operations_.rend(); ++item) {
        if (item->status_ != OperationStatus::Accepted)
            continue;
        if (!acceptedIndexes_.insert(item->index_).second)
            break;
    }
}

auto ControlFleet::checkInvariants() -> void
{
    auto inForce = LogIndex(0);
    for (const auto &node : nodes_) {
        if (node.service_ == nullptr)
            continue;
        node.service_->readState(
            [this](const FleetState &state) { collectAcceptedIndexes(state); });
        inForce = std::max(inForce, node.service_->inForceIndex());
    }
    const auto above = acceptedIndexes_.upper_bound(inForce);
    const auto required = above == acceptedIndexes_.begin() ? LogIndex(0) : *std::prev(above);
    for (auto &node : nodes_) {
        if (node.service_ != nullptr)
            checkNode(node, required);
    }
}

auto ControlFleet::checkNode(ControlNode &node, LogIndex required) -> void
{
    const auto &service = *node.service_;
    const auto [applied, version] = service.readState(
        [](const FleetState &state) { return std::pair(state.applied_, state.version_); });
    const auto name = node.self_.id_.text();
    if (version < node.checkedVersion_)
        addViolation(name + " reverted to version " + std::to_string(version));
    node.checkedVersion_ = version;
    if (!service.mayTakeWork())
        return;
    if (applied < required)
        addViolation(name + " takes work at index " + std::to_string(applied) + " while index "
                     + std::to_string(required) + " is in force");
    if (version < node.workedVersion_)
        addViolation(name + " takes work under the old version " + std::to_string(version));
    node.workedVersion_ = version;
}

auto ControlFleet::leader() const -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
        if (nodes_[index].service_ != nullptr && nodes_[index].service_->isLeader())
            return index;
    }
    return std::nullopt;
}

auto ControlFleet::allInForce() const -> bool
{
    const auto leading = leader();
    if (!leading)
        return false;
    const auto &service = *nodes_[*leading].service_;
    return service.inForceIndex()
        >= service.readState([](const FleetState &state) { return state.requiredIndex_; });
}

auto ControlFleet::phaseOf(std::size_t node) const -> std::optional<EntryPhase>
{
    const auto leading = leader();
    if (!leading)
        return std::nullopt;
    return nodes_[*leading].service_->readState([&](const FleetState &state) {
        const auto found = state.entries_.find(nodes_[node].self_.id_);
        return found == state.entries_.end() ? std::nullopt : std::optional(found->second.phase_);
    });
}

} // namespace lycheereach
