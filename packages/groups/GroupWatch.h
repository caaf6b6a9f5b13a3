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

/// The announcements that one entry hears, and the groups whose lease it holds.
///
/// Incarnation and sequence order the announcements of an upstream, not their arrival. A held
/// group may serve while every member was heard by this entry within the silence timeout and its
/// own last announcement says `ready` in this group, epoch and rank. Not thread-safe.
class GroupWatch
{
public:
    explicit GroupWatch(EntryId self);

    /// Takes in the replicated state; call it after every change of groups or upstreams.
    auto update(const FleetState &state, MonotonicTime now) -> void;

    /// Takes in \a announcement.
    auto heard(const Announcement &announcement, MonotonicTime now) -> AnnouncementEffect;

    /// What to propose now: LoseUpstream for silent upstreams that this entry watches, and the
    /// phases of held groups. \a isIdle says whether nothing runs in a group any more. Repeats
    /// itself until the state has changed.
    auto tick(MonotonicTime now, const std::function<bool(const GroupId &)> &isIdle) const
        -> std::vector<Command>;

    /// Whether \a group is held here and all its members agree and live.
    [[nodiscard]] auto mayServe(const GroupId &group, MonotonicTime now) const -> bool;

    /// The last announcement heard from \a upstream.
    [[nodiscard]] auto last(const UpstreamId &upstream) const -> std::optional<Announcement>;

private:
    struct Heard
    {
        Announcement announcement_;
        MonotonicTime at_;
    };
    struct Watched
    {
        Announcement inState_;
        bool lost_ = false;
        bool watchedHere_ = false;
        Duration silenceTimeout_{};
        /// When this entry became the watcher.
        MonotonicTime since_;
    };
    struct Held
    {
        Group group_;
        /// The incarnation of each member when it first agreed in this epoch.
        std::map<UpstreamId, Incarnation> agreed_;
    };

    auto isLive(const UpstreamId &upstream, MonotonicTime now) const -> bool;
    auto agrees(const Group &group, std::size_t rank) const -> bool;
    auto noteAgreement(Held &held) -> void;
    auto hasRestarted(const Held &held) const -> bool;
    auto silent(MonotonicTime now) const -> std::vector<Command>;
    auto phaseOf(const Held &held, MonotonicTime now, bool idle) const -> GroupPhase;

    EntryId self_;
    std::map<UpstreamId, Heard> heard_;
    std::map<UpstreamId, Watched> watched_;
    std::map<GroupId, Held> held_;
};

} // namespace lycheereach
