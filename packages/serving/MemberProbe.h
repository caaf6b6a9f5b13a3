/// \file
/// \brief Probes upstreams that may be dead, so that they are not waited for.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "serving/ProbeOutcome.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lycheereach {

class ControlService;
struct Upstream;

/// What a MemberProbe needs from its process.
struct MemberProbeHooks
{
    /// Asks an upstream over a new connection whether it lives.
    std::function<void(const Upstream &, std::function<void(ProbeOutcome)> done)> probe_;
    /// Finds out whether an upstream gives answers to entries, in the time that a probe takes.
    std::function<void(const UpstreamId &)> askServing_;
    /// Whether an entry is known to have got a part of an answer since a time.
    std::function<bool(const UpstreamId &, MonotonicTime since)> hasServedSince_;
    EventSink event_;
    MonotonicClock now_;
};

/// Probes upstreams that may be dead: all members of a group that an entry found standing still.
/// One whose process has ended is proposed as lost, and one that answers none of two probes while
/// no entry gets anything of its group: it may be cut off from control alone. Silence counts only
/// while this process has the time to hear answers; few are probed at once.
/// Thread-safe; guarded by one lock of rank LockRank::Leaseholder.
class MemberProbe : public std::enable_shared_from_this<MemberProbe>
{
public:
    MemberProbe(ControlService &control, MemberProbeHooks hooks);

    /// An entry says that the group whose first member is \a head stands still.
    auto groupStalled(const UpstreamId &head) -> void;
    /// Probes the members of groups of which no entry has got anything since. Call it several times
    /// in a tenth of a second.
    auto tick() -> void;
    /// Whether the process that announced itself as \a upstream is known to have ended.
    [[nodiscard]] auto hasEnded(const Upstream &upstream) const -> bool;

private:
    struct Probed
    {
        Incarnation incarnation_ = 0;
        MonotonicTime at_;
        /// Probes of the last turn that had no answer.
        int silent_ = 0;
        bool ended_ = false;
    };

    /// Upstreams that are being probed.
    [[nodiscard]] auto probedAtOnce(MonotonicTime now) const -> std::ptrdiff_t;
    auto probeMembers(const UpstreamId &head) -> void;
    auto probe(const Upstream &upstream) -> void;
    [[nodiscard]] auto servesStill(const UpstreamId &upstream, MonotonicTime probedAt) const
        -> bool;
    auto probed(const Upstream &upstream, ProbeOutcome outcome) -> void;

    ControlService &control_;
    MemberProbeHooks hooks_;
    mutable RankedMutex mutex_;
    std::map<UpstreamId, Probed> probed_;
    /// First members of groups that are said to stand still, and since when.
    std::map<UpstreamId, MonotonicTime> suspected_;
    MonotonicTime lastTick_;
    /// When a late tick last showed that this process had no time to read answers.
    MonotonicTime heldUpAt_;
};

} // namespace lycheereach
