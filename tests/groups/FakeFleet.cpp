#include "groups/FakeFleet.h"

#include "groups/LeaseholderChoice.h"

#include <algorithm>

namespace lycheereach {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto planInterval = milliseconds(200);
constexpr auto entryTickInterval = milliseconds(100);
constexpr auto leaseRenewalInterval = milliseconds(500);
constexpr auto leaseDuration = seconds(3);

auto declarationOf(const FleetOptions &plan) -> Declaration
{
    auto declaration = Declaration{};
    declaration.defaults_ = plan.policy_;
    for (const auto &zone : plan.zones_)
        declaration.zones_.emplace_back(zone);
    declaration.pools_.push_back(
        Pool{PoolName("llm"), "large", plan.instancesPerGroup_, plan.groupLimit_, {}});
    return declaration;
}

auto instance(const FleetOptions &plan, std::size_t domain, std::size_t number) -> Announcement
{
    auto announcement = Announcement{};
    announcement.upstream_
        = UpstreamId("r" + std::to_string(number % 10) + std::to_string(number / 10));
    announcement.incarnation_ = 1;
    announcement.address_ = "10.0.0.1:" + std::to_string(9000 + number);
    announcement.zone_ = ZoneName(plan.zones_[domain % plan.zones_.size()]);
    announcement.fabricDomain_ = FabricDomain("d" + std::to_string(domain));
    announcement.pool_ = PoolName("llm");
    announcement.accelerators_ = 8;
    announcement.checksFencing_ = number % 2 == 0;
    return announcement;
}

} // namespace

FakeFleet::Entry::Entry(EntryId id, const ZoneName &zone, const RandomSource &random)
    : id_(id)
    , monitor_(id)
    , permits_(id)
    , chooser_(zone, random)
{ }

FakeFleet::FakeFleet(FleetOptions plan)
    : plan_(std::move(plan))
    , random_(plan_.seed_)
    , stateMachine_([](const Event &) {})
    , planner_([](const Event &) {})
{
    entries_.reserve(plan_.entryCount_);
    for (auto number = std::size_t{0}; number < plan_.entryCount_; ++number) {
        const auto id = EntryId("e" + std::to_string(number));
        const auto zone = ZoneName(plan_.zones_[number % plan_.zones_.size()]);
        entries_.emplace_back(id, zone, [this] { return random_(); });
        entries_.back().leaseUntil_ = now() + leaseDuration;
        apply(PutEntry{EntryRecord{id, 1, zone, "", "", EntryPhase::Live, false}});
        queue_.scheduleAfter(delay(), [this, number] { entryTick(number); });
        queue_.scheduleAfter(delay(), [this, number] { leaseTick(number); });
    }
    auto declare = ApplyDeclaration{};
    declare.operation_ = operationId();
    declare.declaration_ = declarationOf(plan_);
    apply(declare);
    for (auto domain = std::size_t{0}; domain < plan_.domainSizes_.size(); ++domain) {
        for (auto count = plan_.domainSizes_[domain]; count > 0; --count) {
            const auto number = engines_.size();
            engines_.emplace_back(instance(plan_, domain, number), plan_.engine_);
            engineOf_[engines_.back().announced().upstream_] = number;
            pausedUntil_.push_back(now());
            announceTo_.push_back(random(entries_.size()));
            queue_.scheduleAfter(milliseconds(random(500)),
                                 [this, number] { announceTick(number); });
        }
    }
    queue_.scheduleAfter(delay(), [this] { planTick(); });
    if (plan_.requestRate_ > 0)
        queue_.scheduleAfter(delay(), [this] { arrivalTick(); });
}

auto FakeFleet::run(Duration duration) -> void
{
    queue_.runUntil(now() + duration);
}

auto FakeFleet::kill(std::size_t engine) -> void
{
    engines_[engine].crash(now());
}

auto FakeFleet::restart(std::size_t engine) -> void
{
    engines_[engine].restart(now());
}

auto FakeFleet::pause(std::size_t engine, Duration duration) -> void
{
    pausedUntil_[engine] = now() + duration;
}

auto FakeFleet::freezeEntry(std::size_t entry, Duration duration) -> void
{
    entries_[entry].frozenUntil_ = now() + duration;
}

auto FakeFleet::stopEntry(std::size_t entry) -> void
{
    entries_[entry].isStopped_ = true;
}

auto FakeFleet::setZone(const std::string &zone, bool out) -> void
{
    auto command = SetZone{};
    command.operation_ = operationId();
    command.zone_ = ZoneName(zone);
    command.out_ = out;
    apply(command);
    zoneOutAt_.erase(zone);
    if (out)
        zoneOutAt_[zone] = now();
}

auto FakeFleet::drain(std::size_t engine, bool draining) -> void
{
    const auto &id = engines_[engine].announced().upstream_;
    auto command = DrainUpstream{};
    command.operation_ = operationId();
    command.upstream_ = id;
    command.draining_ = draining;
    apply(command);
    drainingSince_.erase(id);
    if (draining && state().upstreams_.contains(id))
        drainingSince_[id] = now();
}

auto FakeFleet::changeLeader() -> void
{
    planner_.reset();
}

auto FakeFleet::stopNetworkFaults() -> void
{
    plan_.networkFaultRate_ = 0;
}

auto FakeFleet::operationId() -> OperationId
{
    return OperationId("o" + std::to_string(++operations_));
}

auto FakeFleet::isRunning(const Entry &entry) const -> bool
{
    return !entry.isStopped_ && now() >= entry.frozenUntil_;
}

auto FakeFleet::holdsLease(const Entry &entry) const -> bool
{
    return isRunning(entry) && entry.state_ != nullptr && now() < entry.leaseUntil_;
}

auto FakeFleet::entryOf(const EntryId &id) -> Entry &
{
    return *std::find_if(entries_.begin(), entries_.end(),
                         [&](const Entry &entry) { return entry.id_ == id; });
}

auto FakeFleet::engineOf(const UpstreamId &id) -> std::size_t
{
    return engineOf_.at(id);
}

auto FakeFleet::delay() -> Duration
{
    return std::chrono::microseconds(500 + random(2500));
}

auto FakeFleet::drawNetworkFault() -> bool
{
    return static_cast<double>(random(1'000'000)) < plan_.networkFaultRate_ * 1e6;
}

auto FakeFleet::apply(const Command &command) -> void
{
    stateMachine_.apply(++index_, command);
    checkState();
}

auto FakeFleet::publish() -> void
{
    if (publishedIndex_ == index_)
        return;
    publishedIndex_ = index_;
    const auto snapshot = std::make_shared<const FleetState>(state());
    for (auto &entry : entries_) {
        queue_.scheduleAfter(delay(), [this, snapshot, &entry] {
            if (!isRunning(entry) || (entry.state_ && entry.state_->applied_ >= snapshot->applied_))
                return;
            entry.state_ = snapshot;
            entry.monitor_.update(*snapshot, now());
            entry.permits_.update(*snapshot, now());
            entry.chooser_.update(*snapshot);
        });
    }
}

auto FakeFleet::liveEntries() const -> std::set<EntryId>
{
    auto live = std::set<EntryId>{};
    for (const auto &entry : entries_) {
        if (now() < entry.leaseUntil_)
            live.insert(entry.id_);
    }
    return live;
}

auto FakeFleet::isRevoked(const GroupId &group) const -> bool
{
    const auto since = state().groups_.at(group).leaseChangedAt_;
    return std::all_of(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        return now() >= entry.leaseUntil_ || (entry.state_ && entry.state_->applied_ >= since);
    });
}

auto FakeFleet::planTick() -> void
{
    auto inputs = GroupPlannerInputs{now(), liveEntries(),
                                     [this](const GroupId &group) { return isRevoked(group); }};
    for (const auto &action : planner_.plan(state(), inputs)) {
        if (const auto *order = std::get_if<EngineOrder>(&action)) {
            sendOrder(*order);
            continue;
        }
        const auto &command = std::get<Command>(action);
        const auto chosen
            = rewriteCommand_ ? rewriteCommand_(state(), command) : std::optional(command);
        if (chosen)
            apply(*chosen);
    }
    publish();
    queue_.scheduleAfter(planInterval, [this] { planTick(); });
}

auto FakeFleet::sendOrder(const EngineOrder &order) -> void
{
    const auto engine = engineOf(order.upstream_);
    const auto deliver = [this, order, engine] {
        if (engines_[engine].isAlive() && now() >= pausedUntil_[engine])
            return engines_[engine].execute(order, now());
        return false;
    };
    const auto isUnwanted = order.kind_ == OrderKind::Load && !deliversSpareLoads_;
    if (drawNetworkFault())
        queue_.scheduleAfter(milliseconds(random(8000)), [deliver] { deliver(); });
    const auto isDropped = isUnwanted || drawNetworkFault();
    queue_.scheduleAfter(delay(), [this, deliver, order, isDropped] {
        const auto isAccepted = !isDropped && deliver();
        queue_.scheduleAfter(delay(), [this, order, isAccepted] {
            planner_.orderEnded(order.upstream_, isAccepted, now());
        });
    });
}

auto FakeFleet::leaseTick(std::size_t number) -> void
{
    auto &entry = entries_[number];
    queue_.scheduleAfter(leaseRenewalInterval, [this, number] { leaseTick(number); });
    if (!isRunning(entry))
        return;
    // An entry whose lease had expired gets the current state with its new lease.
    if (now() >= entry.leaseUntil_) {
        entry.state_ = std::make_shared<const FleetState>(state());
        entry.monitor_.update(*entry.state_, now());
        entry.permits_.update(*entry.state_, now());
        entry.chooser_.update(*entry.state_);
    }
    entry.leaseUntil_ = now() + leaseDuration;
}

auto FakeFleet::entryTick(std::size_t number) -> void
{
    auto &entry = entries_[number];
    queue_.scheduleAfter(entryTickInterval, [this, number] { entryTick(number); });
    if (!holdsLease(entry))
        return;
    entry.permits_.dropExpiredPermits(now());
    for (const auto &[id, group] : entry.state_->groups_)
        entry.permits_.setServing(id, entry.monitor_.mayServe(*entry.state_, id, now()));
    const auto isIdle = [&](const GroupId &group) { return entry.permits_.isIdle(group); };
    for (const auto &command : entry.monitor_.planCommands(*entry.state_, now(), isIdle)) {
        queue_.scheduleAfter(delay(), [this, command] {
            apply(command);
            publish();
        });
    }
    const auto loads = entry.permits_.loads();
    for (auto &other : entries_) {
        queue_.scheduleAfter(delay(), [this, loads, &other] {
            for (const auto &load : loads) {
                if (isRunning(other))
                    other.chooser_.updateLoad(load);
            }
        });
    }
    dispatchWaiting(number);
}

auto FakeFleet::announceTick(std::size_t engine) -> void
{
    queue_.scheduleAfter(milliseconds(plan_.policy_.announceEveryMs_),
                         [this, engine] { announceTick(engine); });
    if (!engines_[engine].isAlive() || now() < pausedUntil_[engine])
        return;
    const auto announcement = engines_[engine].announce(now());
    const auto target = announceTo_[engine];
    if (!holdsLease(entries_[target]))
        announceTo_[engine] = (target + 1) % entries_.size();
    const auto wait = drawNetworkFault() ? Duration(milliseconds(random(900))) : delay();
    queue_.scheduleAfter(wait, [this, target, engine, announcement] {
        deliverAnnouncement(target, engine, announcement);
    });
    if (!drawNetworkFault())
        return;
    const auto other = random(entries_.size());
    queue_.scheduleAfter(milliseconds(random(900)), [this, other, engine, announcement] {
        deliverAnnouncement(other, engine, announcement);
    });
}

auto FakeFleet::deliverAnnouncement(std::size_t number, std::size_t engine,
                                    const Announcement &announcement) -> void
{
    auto &entry = entries_[number];
    if (!holdsLease(entry))
        return;
    const auto effect = entry.monitor_.handleAnnouncement(*entry.state_, announcement, now());
    const auto next = announcementTargets(*entry.state_, liveEntries(), announcement.upstream_,
                                          announcement.zone_);
    if (!next.empty())
        announceTo_[engine] = static_cast<std::size_t>(&entryOf(next.front()) - entries_.data());
    if (effect == AnnouncementEffect::Stale)
        return;
    entry.permits_.handleAnnouncement(announcement, now());
    if (effect == AnnouncementEffect::LoadOnly)
        return;
    queue_.scheduleAfter(delay(), [this, announcement, id = entry.id_] {
        apply(PutUpstream{announcement, id});
        publish();
    });
}

auto FakeFleet::checkState() -> void
{
    auto members = std::size_t{0};
    for (const auto &[id, group] : state().groups_) {
        members += group.members_.size();
        for (const auto &member : group.members_) {
            const auto membership = state().groupOf_.find(member);
            if (membership == state().groupOf_.end() || membership->second != id)
                recordViolation(member.text() + " is in two groups");
        }
    }
    if (members != state().groupOf_.size())
        recordViolation("an instance is in a group that does not list it as a member");
}

auto FakeFleet::recordViolation(const std::string &what) -> void
{
    const auto at = std::to_string(toMilliseconds(now().time_since_epoch()));
    violations_.push_back("seed " + std::to_string(plan_.seed_) + ", " + at + " ms: " + what);
}

auto FakeFleet::servingGroups() const -> std::size_t
{
    auto serving = std::size_t{0};
    for (const auto &entry : entries_) {
        if (!holdsLease(entry))
            continue;
        for (const auto &load : entry.permits_.loads())
            serving += load.limit_ > 0 && areAllMembersReady(load.group_) ? 1 : 0;
    }
    return serving;
}

auto FakeFleet::areAllMembersReady(const GroupId &id) const -> bool
{
    const auto group = state().groups_.find(id);
    if (group == state().groups_.end())
        return false;
    const auto &members = group->second.members_;
    return std::none_of(members.begin(), members.end(), [&](const UpstreamId &member) {
        const auto &engine = engines_[engineOf_.at(member)];
        return engine.notReadySince(id, group->second.epoch_).has_value();
    });
}

auto FakeFleet::startedIn(const std::string &zone) const -> std::uint64_t
{
    const auto found = startedIn_.find(zone);
    return found == startedIn_.end() ? 0 : found->second;
}

auto FakeFleet::isInZone(std::size_t engine, const std::string &zone) const -> bool
{
    return engines_[engine].announced().zone_.text() == zone;
}

} // namespace lycheereach
