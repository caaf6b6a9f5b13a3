/// \file
/// \brief The upstreams that forwarded requests may go to, with their load.
#pragma once

#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "forward/AdmissionLimit.h"
#include "forward/ForwardHead.h"
#include "forward/ForwardTarget.h"
#include "forward/TargetOutcome.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheereach {

struct FleetState;

/// The upstreams that forwarded requests may go to, with their load: first members of serving
/// groups whose gate is open, and instances of plain services. Chooses by the requests of this
/// entry and by what upstreams say in their answers. A cold upstream gets this entry's share of
/// what it carries. Thread-safe; guarded by one lock of rank LockRank::Targets.
class TargetTable
{
public:
    /// \a self is the entry that chooses, in \a zone.
    TargetTable(EntryId self, ZoneName zone, RandomSource random);

    /// Takes in the replicated state. Call it after every change.
    auto update(const FleetState &state) -> void;
    /// The best upstream of \a pool for one more request, which counts until release(). Nothing is
    /// chosen when all engines are fuller than \a admission allows, so that a request is refused at
    /// once instead of making all that follow late.
    auto choose(const PoolName &pool, const std::set<UpstreamId> &avoid,
                const AdmissionLimit &admission, MonotonicTime now) -> std::optional<ForwardTarget>;
    /// Whether choose() would find another upstream than \a target that was not stalled lately.
    auto hasAlternative(const ForwardTarget &target, const AdmissionLimit &admission,
                        MonotonicTime now) -> bool;
    /// A chosen target is no longer used. One that failed is left out for a while when there are
    /// others, one that is gone also when there are none.
    auto release(const ForwardTarget &target, TargetOutcome outcome, MonotonicTime now) -> void;
    /// Takes in what an upstream said in an answer.
    auto recordLoad(const ForwardTarget &target, const ReportedLoad &load, MonotonicTime now)
        -> void;
    /// A stream of \a target has begun or made progress; says whether awaitProgress() asked for it.
    auto recordProgress(const ForwardTarget &target, MonotonicTime now) -> bool;
    /// The next progress of \a upstream is asked for.
    auto awaitProgress(const UpstreamId &upstream, MonotonicTime now) -> void;
    /// Upstreams that gave nothing on any stream for too long; each is left out of choices, and
    /// named again after a pause.
    auto collectStalled(MonotonicTime now) -> std::vector<ForwardTarget>;
    /// Engines that gave nothing on any stream for so long that a member of their group may be
    /// lost; each is named again after a pause.
    auto collectSuspects(MonotonicTime now) -> std::vector<ForwardTarget>;
    /// How long ago \a upstream last gave a part of an answer; nothing when it never did.
    [[nodiscard]] auto servedAgo(const UpstreamId &upstream, MonotonicTime now) const
        -> std::optional<Duration>;
    /// Entries that share the upstreams.
    [[nodiscard]] auto entryCount() const -> std::size_t;
    /// Whether \a pool has any upstream, full or not.
    [[nodiscard]] auto hasTarget(const PoolName &pool) const -> bool;

private:
    struct TargetState
    {
        ForwardTarget target_;
        std::uint32_t inFlight_ = 0;
        bool isEngine_ = false;
        std::uint32_t slots_ = 0;
        /// Requests a second that this entry may send; nothing when the upstream is warm or its
        /// profile names no limit.
        std::optional<std::uint32_t> coldRateLimit_;
        std::deque<MonotonicTime> coldSentAt_;
        std::optional<ReportedLoad> load_;
        MonotonicTime loadAt_;
        /// Requests of this entry that began less those that ended since the upstream said its
        /// load.
        int netSinceLoad_ = 0;
        MonotonicTime deprioritizedUntil_;
        MonotonicTime unavailableUntil_;
        /// When a stream last gave something, or the first of those in flight was sent.
        MonotonicTime progressAt_;
        /// Whether a stream has given something since then.
        bool hasProgressed_ = false;
        MonotonicTime stalledAt_;
        MonotonicTime suspectedAt_;
        /// When an answer last went on.
        std::optional<MonotonicTime> servedAt_;
        /// Until then the next progress is asked for.
        MonotonicTime progressAwaitedUntil_;
    };

    /// Whether a stream of \a target should have given something since \a allowed ago.
    static auto isSilent(const TargetState &target, Duration stallLimit, MonotonicTime now) -> bool;

    /// How many requests of all entries \a target probably has.
    [[nodiscard]] auto estimatedLoad(const TargetState &target, MonotonicTime now) const -> double;
    [[nodiscard]] auto selectionCost(const TargetState &target, MonotonicTime now) const -> double;
    /// Whether \a target is probably less full than \a admission allows.
    [[nodiscard]] auto hasCapacity(const TargetState &target, const AdmissionLimit &admission,
                                   MonotonicTime now) const -> bool;
    auto find(const ForwardTarget &target) -> TargetState *;
    static auto isWithinColdLimit(TargetState &target, MonotonicTime now) -> bool;
    auto add(const FleetState &state, const PoolName &pool, const UpstreamId &upstream,
             std::map<PoolName, std::map<UpstreamId, TargetState>> &targets) const -> void;

    EntryId self_;
    ZoneName zone_;
    RandomSource random_;
    mutable RankedMutex mutex_;
    std::map<PoolName, std::map<UpstreamId, TargetState>> targets_;
    /// Entries that share the upstreams, this one among them.
    std::vector<EntryId> entries_;
};

} // namespace lycheereach
