/// \file
/// \brief Probes the members of stalled groups to detect dead upstreams before they time out.
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

/// Functions that a MemberProbe calls in its process.
struct MemberProbeHooks
{
    /// Probes over a new connection whether an upstream is alive.
    std::function<void(const Upstream &, std::function<void(ProbeOutcome)> done)> probe_;
    /// Asks the entries whether they get data from an upstream; the answers must come within the
    /// time of a probe.
    std::function<void(const UpstreamId &)> queryEvidence_;
    /// Asks some of the entries; returns whether these were all.
    std::function<bool(const UpstreamId &)> querySomeEvidence_;
    /// Whether an entry is known to have received part of an answer since a time.
    std::function<bool(const UpstreamId &, MonotonicTime since)> hasServedSince_;
    EventSink event_;
    MonotonicClock now_;
};

/// Probes all members of a group that an entry reported as stalled. Proposes an upstream as lost
/// when its process has ended, or when it answers neither of two probes and no entry receives data
/// from its group; while entries do, it may only be cut off from control. A missing answer counts
/// only while this process is not too busy to read answers; the number of upstreams probed at once
/// is limited. Thread-safe; guarded by one lock of rank LockRank::Leaseholder.
class MemberProbe : public std::enable_shared_from_this<MemberProbe>
{
public:
    MemberProbe(ControlService &control, MemberProbeHooks hooks);

    /// An entry reports the group whose first member is \a firstMember as stalled.
    auto reportStalledGroup(const UpstreamId &firstMember) -> void;
    /// Probes the members of reported groups from which no entry has received data since; call it
    /// several times in a tenth of a second.
    auto tick() -> void;
    /// Whether the process that announced itself as \a upstream is known to have ended.
    [[nodiscard]] auto hasEnded(const Upstream &upstream) const -> bool;

private:
    /// A group that an entry reported as stalled.
    struct StalledGroup
    {
        /// Data received since then shows that the group serves.
        MonotonicTime reportedAt_;
        MonotonicTime queriedAt_;
        bool hasQueriedAll_ = false;
    };

    /// The probes of an upstream.
    struct ProbedUpstream
    {
        Incarnation incarnation_ = 0;
        MonotonicTime probedAt_;
        /// Probes sent at probedAt_ that had no answer.
        int unansweredProbes_ = 0;
        bool hasEnded_ = false;
    };

    /// Number of upstreams with probes in flight.
    [[nodiscard]] auto countUpstreamsBeingProbed(MonotonicTime now) const -> std::ptrdiff_t;
    /// Removes and returns the stalled groups whose query has had its time.
    [[nodiscard]] auto takeQueried(MonotonicTime now) -> std::map<UpstreamId, StalledGroup>;
    auto queryAll(const UpstreamId &firstMember, MonotonicTime now) -> void;
    auto probeMembers(const UpstreamId &firstMember) -> void;
    auto probe(const Upstream &upstream) -> void;
    /// Whether an entry has received part of an answer since evidenceMargin before \a time.
    [[nodiscard]] auto hasServedSince(const UpstreamId &upstream, MonotonicTime time) const -> bool;
    auto probeEnded(const Upstream &upstream, ProbeOutcome outcome) -> void;

    ControlService &control_;
    MemberProbeHooks hooks_;
    mutable RankedMutex mutex_;
    std::map<UpstreamId, ProbedUpstream> probedUpstreams_;
    /// By the first member; only groups whose query is in progress.
    std::map<UpstreamId, StalledGroup> stalledGroups_;
    MonotonicTime lastTick_;
    /// When a late tick last showed that this process was too busy to read answers.
    MonotonicTime delayedAt_;
};

} // namespace lycheereach
