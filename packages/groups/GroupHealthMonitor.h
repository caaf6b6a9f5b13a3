/// \file
/// \brief Tracks announcements of upstreams and decides which groups held by this entry may serve.
#pragma once

#include "base/Time.h"
#include "groups/AnnouncementEffect.h"
#include "state/Command.h"
#include "state/FleetState.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// Whether two announcements differ in more than sequence number and load.
auto differsBeyondLoad(const Announcement &left, const Announcement &right) -> bool;
/// Whether \a announcement, received by the entry \a watcher, changes \a state in more than load:
/// the upstream is new, lost or watched by another entry, or its announcement differs.
auto changesControlState(const FleetState &state, const Announcement &announcement,
                         const EntryId &watcher) -> bool;

/// The announcements that one entry receives, and the groups whose lease it holds (held groups).
///
/// The announcements of an upstream are ordered by incarnation and sequence number. A held group
/// may serve while this entry has heard every member within the silence timeout and the member's
/// last announcement says `ready` in this group, epoch and rank. Not thread-safe.
class GroupHealthMonitor
{
public:
    explicit GroupHealthMonitor(EntryId self);

    /// Updates the watched upstreams and held groups. Must be called after every change of the
    /// state. \a watchesForLost says whether this entry also watches the upstreams whose watcher is
    /// lost.
    auto update(const FleetState &state, MonotonicTime now, bool watchesForLost = false) -> void;

    /// Records \a announcement and returns what it changed.
    auto handleAnnouncement(const FleetState &state, const Announcement &announcement,
                            MonotonicTime now) -> AnnouncementEffect;

    /// The commands to propose now: LoseUpstream for silent upstreams that this entry watches, the
    /// next phases of held groups, and a new epoch for a held group with a member that left or
    /// restarted after it had joined. \a isIdle says whether no requests run in a group. Returns
    /// the same commands again until the state has changed.
    auto planCommands(const FleetState &state, MonotonicTime now,
                      const std::function<bool(const GroupId &)> &isIdle) const
        -> std::vector<Command>;

    /// Upstreams that this entry watches and has not heard for at least three quarters of their
    /// silence timeout.
    [[nodiscard]] auto silentUpstreams(const FleetState &state, MonotonicTime now) const
        -> std::vector<UpstreamId>;

    /// Whether this entry holds \a group, the group is serving, and all its members are live and
    /// announce that they are ready in it.
    [[nodiscard]] auto mayServe(const FleetState &state, const GroupId &group,
                                MonotonicTime now) const -> bool;

    /// The last announcement received from \a upstream.
    [[nodiscard]] auto lastAnnouncement(const UpstreamId &upstream) const
        -> std::optional<Announcement>;

private:
    struct ReceivedAnnouncement
    {
        Announcement announcement_;
        MonotonicTime receivedAt_;
    };
    /// The members' progress in one epoch of a group while this entry holds its lease.
    struct HeldGroup
    {
        Epoch epoch_ = 0;
        /// The incarnation of each member that joined.
        std::map<UpstreamId, Incarnation> joinedIncarnations_;
        /// Whether a member left or restarted after it had joined.
        bool isBroken_ = false;
    };

    /// Whether \a upstream is not lost and was heard within its silence timeout.
    auto isLive(const FleetState &state, const UpstreamId &upstream, MonotonicTime now) const
        -> bool;
    /// Whether all members are live, have joined \a group and are in phase \a minPhase or a later
    /// one.
    auto haveJoined(const FleetState &state, const Group &group, MonotonicTime now,
                    MemberPhase minPhase) const -> bool;
    auto isBroken(const GroupId &group) const -> bool;
    /// Updates the held group of the announcing upstream.
    auto trackMember(const FleetState &state, const Announcement &announcement) -> void;
    /// How long \a upstream has not been heard, counted at most since this entry began to watch it.
    [[nodiscard]] auto silenceDuration(const UpstreamId &upstream, MonotonicTime now) const
        -> Duration;
    /// The commands for watched upstreams whose silence timeout has passed.
    auto lossCommands(const FleetState &state, MonotonicTime now) const -> std::vector<Command>;
    /// The command that takes \a group to its next phase or epoch.
    auto nextCommand(const FleetState &state, const Group &group, MonotonicTime now,
                     bool idle) const -> std::optional<Command>;

    EntryId self_;
    std::map<UpstreamId, ReceivedAnnouncement> received_;
    /// The upstreams that this entry watches, and since when.
    std::map<UpstreamId, MonotonicTime> watchedSince_;
    std::map<GroupId, HeldGroup> heldGroups_;
};

} // namespace lycheereach
