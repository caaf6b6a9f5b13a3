#include "groups/GroupHealthMonitor.h"

#include "groups/FreeInstances.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// An upstream counts as silent after this fraction of its silence timeout.
constexpr auto silentFraction = 0.75;

auto isNewer(const Announcement &left, const Announcement &right) -> bool
{
    return std::pair(left.incarnation_, left.sequence_)
        > std::pair(right.incarnation_, right.sequence_);
}

auto silenceTimeout(const FleetState &state, const Announcement &announced) -> Duration
{
    const auto policy
        = policyFor(state.declaration_, announced.zone_, announced.pool_, announced.upstream_);
    return std::chrono::milliseconds(policy.silenceTimeoutMs_);
}

/// Whether the upstream announces this group, its epoch and the rank that the group gives it.
auto hasJoined(const Announcement &announced, const Group &group) -> bool
{
    if (announced.group_ != group.id_ || announced.epoch_ != group.epoch_)
        return false;
    const auto rank = std::size_t{announced.rank_};
    return rank < group.members_.size() && group.members_[rank] == announced.upstream_;
}

/// Whether a member announces that it belongs to another group.
auto hasMemberInAnotherGroup(const FleetState &state, const Group &group) -> bool
{
    const auto differs = [&](const UpstreamId &member) {
        const auto &announcedGroup = state.upstreams_.at(member).announced_.group_;
        return !announcedGroup.empty() && announcedGroup != group.id_;
    };
    return std::any_of(group.members_.begin(), group.members_.end(), differs);
}

auto isEntryLost(const FleetState &state, const EntryId &id) -> bool
{
    const auto entry = state.entries_.find(id);
    return entry == state.entries_.end() || entry->second.phase_ == EntryPhase::Lost;
}

} // namespace

auto differsBeyondLoad(const Announcement &left, const Announcement &right) -> bool
{
    auto adjusted = left;
    adjusted.sequence_ = right.sequence_;
    adjusted.carries_ = right.carries_;
    adjusted.coldMs_ = right.coldMs_;
    adjusted.running_ = right.running_;
    adjusted.queued_ = right.queued_;
    return adjusted != right;
}

auto changesControlState(const FleetState &state, const Announcement &announcement,
                         const EntryId &watcher) -> bool
{
    const auto known = state.upstreams_.find(announcement.upstream_);
    return known == state.upstreams_.end() || known->second.lost_
        || known->second.watcher_ != watcher
        || differsBeyondLoad(known->second.announced_, announcement);
}

GroupHealthMonitor::GroupHealthMonitor(EntryId self)
    : self_(std::move(self))
{ }

auto GroupHealthMonitor::update(const FleetState &state, MonotonicTime now, bool watchesForLost)
    -> void
{
    auto watched = std::map<UpstreamId, MonotonicTime>{};
    for (const auto &[id, upstream] : state.upstreams_) {
        const auto isWatched = upstream.watcher_ == self_
            || (watchesForLost && isEntryLost(state, upstream.watcher_));
        if (!isWatched)
            continue;
        const auto known = watchedSince_.find(id);
        watched.emplace(id, known == watchedSince_.end() ? now : known->second);
    }
    watchedSince_ = std::move(watched);
    auto held = std::map<GroupId, HeldGroup>{};
    for (const auto &[id, group] : state.groups_) {
        if (group.leaseholder_ != self_)
            continue;
        const auto known = heldGroups_.find(id);
        const auto isSame = known != heldGroups_.end() && known->second.epoch_ == group.epoch_;
        held.emplace(id, isSame ? known->second : HeldGroup{group.epoch_, {}, false});
    }
    heldGroups_ = std::move(held);
}

auto GroupHealthMonitor::handleAnnouncement(const FleetState &state,
                                            const Announcement &announcement, MonotonicTime now)
    -> AnnouncementEffect
{
    const auto &id = announcement.upstream_;
    const auto before = received_.find(id);
    if (before != received_.end() && !isNewer(announcement, before->second.announcement_))
        return AnnouncementEffect::Stale;
    const auto known = state.upstreams_.find(id);
    if (known != state.upstreams_.end() && isNewer(known->second.announced_, announcement))
        return AnnouncementEffect::Stale;
    received_[id] = ReceivedAnnouncement{announcement, now};
    trackMember(state, announcement);
    if (known == state.upstreams_.end())
        return AnnouncementEffect::Changed;
    const auto &upstream = known->second;
    if (!isNewer(announcement, upstream.announced_))
        return AnnouncementEffect::LoadOnly;
    return changesControlState(state, announcement, self_) ? AnnouncementEffect::Changed
                                                           : AnnouncementEffect::LoadOnly;
}

auto GroupHealthMonitor::trackMember(const FleetState &state, const Announcement &announcement)
    -> void
{
    const auto membership = state.groupOf_.find(announcement.upstream_);
    if (membership == state.groupOf_.end() || announcement.kind_ == UpstreamKind::Service)
        return;
    const auto &group = state.groups_.at(membership->second);
    const auto held = heldGroups_.find(group.id_);
    if (held == heldGroups_.end() || held->second.epoch_ != group.epoch_)
        return;
    auto &joined = held->second.joinedIncarnations_;
    const auto known = joined.find(announcement.upstream_);
    const auto joins = hasJoined(announcement, group);
    if (known == joined.end()) {
        if (joins)
            joined.emplace(announcement.upstream_, announcement.incarnation_);
        return;
    }
    if (!joins || known->second != announcement.incarnation_)
        held->second.isBroken_ = true;
}

auto GroupHealthMonitor::planCommands(const FleetState &state, MonotonicTime now,
                                      const std::function<bool(const GroupId &)> &isIdle) const
    -> std::vector<Command>
{
    auto commands = lossCommands(state, now);
    for (const auto &[id, held] : heldGroups_) {
        const auto group = state.groups_.find(id);
        if (group == state.groups_.end() || group->second.epoch_ != held.epoch_)
            continue;
        if (auto step = nextCommand(state, group->second, now, isIdle(id)))
            commands.push_back(std::move(*step));
    }
    return commands;
}

auto GroupHealthMonitor::lossCommands(const FleetState &state, MonotonicTime now) const
    -> std::vector<Command>
{
    auto commands = std::vector<Command>{};
    for (const auto &[id, since] : watchedSince_) {
        const auto upstream = state.upstreams_.find(id);
        if (upstream == state.upstreams_.end() || upstream->second.lost_)
            continue;
        const auto &announced = upstream->second.announced_;
        if (silenceDuration(id, now) >= silenceTimeout(state, announced))
            commands.emplace_back(
                LoseUpstream{id, announced.incarnation_, upstream->second.watcher_});
    }
    return commands;
}

auto GroupHealthMonitor::silenceDuration(const UpstreamId &upstream, MonotonicTime now) const
    -> Duration
{
    const auto since = watchedSince_.at(upstream);
    const auto received = received_.find(upstream);
    return now
        - (received == received_.end() ? since : std::max(since, received->second.receivedAt_));
}

auto GroupHealthMonitor::silentUpstreams(const FleetState &state, MonotonicTime now) const
    -> std::vector<UpstreamId>
{
    auto ids = std::vector<UpstreamId>{};
    for (const auto &[id, since] : watchedSince_) {
        const auto upstream = state.upstreams_.find(id);
        if (upstream == state.upstreams_.end() || upstream->second.lost_)
            continue;
        const auto timeout = silenceTimeout(state, upstream->second.announced_);
        if (silenceDuration(id, now) >= silentFraction * timeout)
            ids.push_back(id);
    }
    return ids;
}

auto GroupHealthMonitor::nextCommand(const FleetState &state, const Group &group, MonotonicTime now,
                                     bool idle) const -> std::optional<Command>
{
    const auto phase = [&](GroupPhase next) -> std::optional<Command> {
        if (group.phase_ == next)
            return std::nullopt;
        return SetGroupPhase{group.id_, group.epoch_, next};
    };
    if (group.phase_ == GroupPhase::Draining)
        return idle ? phase(GroupPhase::Dissolved) : std::nullopt;
    const auto hasLost = std::any_of(group.members_.begin(), group.members_.end(),
                                     [&](const UpstreamId &id) { return isMemberLost(state, id); });
    if (hasLost)
        return std::nullopt;
    if (isBroken(group.id_) && hasMemberInAnotherGroup(state, group))
        return std::nullopt;
    if (isBroken(group.id_))
        return FormGroup{group.id_, group.pool_, group.zone_, group.epoch_, group.members_};
    if (haveJoined(state, group, now, MemberPhase::Ready))
        return phase(GroupPhase::Serving);
    if (group.phase_ == GroupPhase::Serving || haveJoined(state, group, now, MemberPhase::Loading))
        return phase(GroupPhase::Loading);
    return std::nullopt;
}

auto GroupHealthMonitor::mayServe(const FleetState &state, const GroupId &group,
                                  MonotonicTime now) const -> bool
{
    const auto found = state.groups_.find(group);
    if (found == state.groups_.end() || found->second.leaseholder_ != self_)
        return false;
    const auto held = heldGroups_.find(group);
    if (held == heldGroups_.end() || held->second.epoch_ != found->second.epoch_)
        return false;
    return found->second.phase_ == GroupPhase::Serving && !held->second.isBroken_
        && haveJoined(state, found->second, now, MemberPhase::Ready);
}

auto GroupHealthMonitor::lastAnnouncement(const UpstreamId &upstream) const
    -> std::optional<Announcement>
{
    const auto found = received_.find(upstream);
    if (found == received_.end())
        return std::nullopt;
    return found->second.announcement_;
}

auto GroupHealthMonitor::isLive(const FleetState &state, const UpstreamId &upstream,
                                MonotonicTime now) const -> bool
{
    const auto received = received_.find(upstream);
    if (received == received_.end() || isMemberLost(state, upstream))
        return false;
    return now - received->second.receivedAt_
        < silenceTimeout(state, received->second.announcement_);
}

auto GroupHealthMonitor::haveJoined(const FleetState &state, const Group &group, MonotonicTime now,
                                    MemberPhase minPhase) const -> bool
{
    const auto hasReachedPhase = [&](const UpstreamId &member) {
        if (!isLive(state, member, now))
            return false;
        const auto &announced = received_.at(member).announcement_;
        if (announced.kind_ == UpstreamKind::Service)
            return true;
        return hasJoined(announced, group) && announced.phase_ >= minPhase;
    };
    return std::all_of(group.members_.begin(), group.members_.end(), hasReachedPhase);
}

auto GroupHealthMonitor::isBroken(const GroupId &group) const -> bool
{
    const auto held = heldGroups_.find(group);
    return held != heldGroups_.end() && held->second.isBroken_;
}

} // namespace lycheereach
