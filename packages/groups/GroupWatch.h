/// \file
/// \brief Hears the announcements of upstreams and says which held groups may serve.
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

/// Whether two announcements differ in more than sequence and load.
auto differsBeyondLoad(const Announcement &left, const Announcement &right) -> bool;
/// Whether \a state does not have what \a announcement says, heard by \a watcher, beyond its load.
auto isNews(const FleetState &state, const Announcement &announcement, const EntryId &watcher)
    -> bool;

/// The announcements that one entry hears, and the groups whose lease it holds.
///
/// Incarnation and sequence order the announcements of an upstream. A held
/// group may serve while every member was heard by this entry within the silence timeout and its
/// own last announcement says `ready` in this group, epoch and rank. Not thread-safe.
class GroupWatch
{
public:
    explicit GroupWatch(EntryId self);

    /// Notes which upstreams and groups this entry has now; call it after every change of \a state.
    auto update(const FleetState &state, MonotonicTime now) -> void;

    /// Takes in \a announcement.
    auto heard(const FleetState &state, const Announcement &announcement, MonotonicTime now)
        -> AnnouncementEffect;

    /// What to propose now: LoseUpstream for silent upstreams that this entry watches, the phases
    /// of held groups, and a new epoch for a held group with a member that left or restarted after
    /// it had joined. \a isIdle says whether nothing runs in a group any more. Repeats itself
    /// until the state has changed.
    auto tick(const FleetState &state, MonotonicTime now,
              const std::function<bool(const GroupId &)> &isIdle) const -> std::vector<Command>;

    /// Upstreams that this entry watches and has not heard for three quarters of their silence
    /// timeout.
    [[nodiscard]] auto unheard(const FleetState &state, MonotonicTime now) const
        -> std::vector<UpstreamId>;

    /// Whether \a group is held here and serving, and all its members agree and live.
    [[nodiscard]] auto mayServe(const FleetState &state, const GroupId &group,
                                MonotonicTime now) const -> bool;

    /// The last announcement heard from \a upstream.
    [[nodiscard]] auto last(const UpstreamId &upstream) const -> std::optional<Announcement>;

private:
    struct Heard
    {
        Announcement announcement_;
        MonotonicTime at_;
    };
    /// What is remembered of a group while this entry holds its lease.
    struct Held
    {
        Epoch epoch_ = 0;
        /// The incarnation of each member that joined.
        std::map<UpstreamId, Incarnation> joined_;
        /// Whether a member left or restarted after it had joined.
        bool isBroken_ = false;
    };

    auto isLive(const FleetState &state, const UpstreamId &upstream, MonotonicTime now) const
        -> bool;
    auto haveJoined(const FleetState &state, const Group &group, MonotonicTime now,
                    MemberPhase least) const -> bool;
    auto isBroken(const GroupId &group) const -> bool;
    auto noteMember(const FleetState &state, const Announcement &announcement) -> void;
    /// How long \a upstream, which this entry watches, has not been heard.
    [[nodiscard]] auto silenceOf(const UpstreamId &upstream, MonotonicTime now) const -> Duration;
    auto losses(const FleetState &state, MonotonicTime now) const -> std::vector<Command>;
    auto nextStep(const FleetState &state, const Group &group, MonotonicTime now, bool idle) const
        -> std::optional<Command>;

    EntryId self_;
    std::map<UpstreamId, Heard> heard_;
    /// The upstreams that this entry watches, and since when.
    std::map<UpstreamId, MonotonicTime> watchedSince_;
    std::map<GroupId, Held> held_;
};

} // namespace lycheereach
