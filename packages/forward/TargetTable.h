/// \file
/// \brief Selects upstreams for forwarded requests by their load.
#pragma once

#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "forward/AdmissionLimit.h"
#include "forward/ForwardResponseHead.h"
#include "forward/ForwardTarget.h"
#include "forward/TargetOutcome.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

struct FleetState;

/// Selects upstreams for forwarded requests: first members of serving groups that announce
/// themselves open, and instances of plain services. Prefers the lowest load, known from the
/// requests of this entry and from the load that upstreams report in their responses. A cold
/// upstream is sent at most this entry's share of its rate limit. Thread-safe; guarded by one lock
/// of rank LockRank::Targets.
class TargetTable
{
public:
    /// \a self is this entry, in \a zone; \a random breaks ties between equally loaded upstreams.
    TargetTable(EntryId self, ZoneName zone, RandomSource random);

    /// Rebuilds the table from the replicated \a state. Call it after every change.
    auto update(const FleetState &state) -> void;
    /// Reserves the best upstream of \a pool for one more request until release(); one of \a avoid
    /// only when there is no other. Nothing when all are full by \a admission or at their cold
    /// rate limit, so that the request is refused at once instead of delaying all that follow.
    auto choose(const PoolName &pool, const std::set<UpstreamId> &avoid,
                const AdmissionLimit &admission, MonotonicTime now) -> std::optional<ForwardTarget>;
    /// As choose(), for a request that may crash its upstream: all entries reserve the same
    /// upstream for the same \a suspect, whatever its load.
    auto chooseIsolated(const PoolName &pool, const std::set<UpstreamId> &avoid,
                        const AdmissionLimit &admission, const std::string &suspect,
                        MonotonicTime now) -> std::optional<ForwardTarget>;
    /// As choose(), for a stream to move away from \a target: reserves only another upstream, and
    /// only one that has not stalled recently.
    auto chooseAlternative(const ForwardTarget &target, const AdmissionLimit &admission,
                           MonotonicTime now) -> std::optional<ForwardTarget>;
    /// Releases a reserved target. For a short time a failed one is chosen only when there is no
    /// other, and an unavailable one not at all.
    auto release(const ForwardTarget &target, TargetOutcome outcome, MonotonicTime now) -> void;
    /// Records the load that \a target reported in a response.
    auto recordLoad(const ForwardTarget &target, const ReportedLoad &load, MonotonicTime now)
        -> void;
    /// Records that a stream of \a target has begun or progressed; returns whether
    /// notifyOnNextProgress() asked for it.
    auto recordProgress(const ForwardTarget &target, MonotonicTime now) -> bool;
    /// Makes the next recordProgress() for \a upstream return true, within a time limit.
    auto notifyOnNextProgress(const UpstreamId &upstream, MonotonicTime now) -> void;
    /// Engines that sent nothing on any stream for too long. Each is then chosen only when there is
    /// no other, and is returned again no sooner than after an interval.
    auto collectStalled(MonotonicTime now) -> std::vector<ForwardTarget>;
    /// Engines that sent nothing on any stream for a shorter time than collectStalled() requires;
    /// the members of their group should be probed. Each is returned at most once per interval.
    auto collectSuspects(MonotonicTime now) -> std::vector<ForwardTarget>;
    /// Time since \a upstream last sent events of a stream; nothing when it never did.
    [[nodiscard]] auto timeSinceProgress(const UpstreamId &upstream, MonotonicTime now) const
        -> std::optional<Duration>;
    /// Number of entries that share the upstreams, this one among them.
    [[nodiscard]] auto entryCount() const -> std::size_t;
    /// Whether \a pool has any upstream, even a full one.
    [[nodiscard]] auto hasTarget(const PoolName &pool) const -> bool;

private:
    struct TargetState
    {
        ForwardTarget target_;
        /// Requests of this entry in progress at the target.
        std::uint32_t inFlight_ = 0;
        bool isEngine_ = false;
        /// Requests that the upstream runs at once; 0 when it is not known.
        std::uint32_t slots_ = 0;
        /// Requests per second that this entry may send to a cold upstream; nothing when it is warm
        /// or its profile has no limit.
        std::optional<std::uint32_t> coldRateLimit_;
        /// When requests were sent under coldRateLimit_ in the last second.
        std::deque<MonotonicTime> coldSentAt_;
        /// The last load that the upstream reported; nothing before the first report.
        std::optional<ReportedLoad> load_;
        MonotonicTime loadAt_;
        /// Requests of this entry started minus those ended since the last load report.
        int netSinceLoad_ = 0;
        /// Until then the target is chosen only when there is no other.
        MonotonicTime deprioritizedUntil_;
        /// Until then the target is not chosen at all.
        MonotonicTime unavailableUntil_;
        /// When a stream last progressed, or when the target last stopped being idle.
        MonotonicTime progressAt_;
        /// Whether any stream has progressed since the target was last idle (inFlight_ was 0).
        bool hasProgressed_ = false;
        /// When collectStalled() and collectSuspects() last returned the target.
        MonotonicTime stalledAt_;
        MonotonicTime suspectedAt_;
        /// When a stream last progressed; nothing when none has.
        std::optional<MonotonicTime> servedAt_;
        /// recordProgress() returns true once until then.
        MonotonicTime progressAwaitedUntil_;
    };

    /// Reserves the best upstream of \a pool out of those that \a isUsable accepts; one of \a avoid
    /// only when there is no other.
    auto reserveBest(const PoolName &pool, const std::set<UpstreamId> &avoid,
                     const AdmissionLimit &admission, MonotonicTime now,
                     const std::function<bool(const TargetState &)> &isUsable)
        -> std::optional<ForwardTarget>;
    /// Counts one more request at \a target.
    static auto reserve(TargetState &target, MonotonicTime now) -> ForwardTarget;
    /// Whether no stream of the engine \a target has progressed for \a stallLimit, or for the
    /// longer limit that applies before the first event.
    static auto isSilent(const TargetState &target, Duration stallLimit, MonotonicTime now) -> bool;

    /// Estimated number of requests of all entries at \a target.
    [[nodiscard]] auto estimatedLoad(const TargetState &target, MonotonicTime now) const -> double;
    /// The load per entry at \a target plus the cost of another zone; choose() minimizes it.
    [[nodiscard]] auto selectionCost(const TargetState &target, MonotonicTime now) const -> double;
    /// Whether the estimated load of \a target is below \a admission; always true for a plain
    /// service and for an engine whose slots are not known.
    [[nodiscard]] auto hasCapacity(const TargetState &target, const AdmissionLimit &admission,
                                   MonotonicTime now) const -> bool;
    /// The state of \a target; null when the table no longer has it with the same incarnation and
    /// address.
    auto find(const ForwardTarget &target) -> TargetState *;
    /// Whether this entry may send \a target another request under its cold rate limit.
    static auto isWithinColdLimit(TargetState &target, MonotonicTime now) -> bool;
    /// Adds \a upstream to \a targets, keeping the state known so far; not in a zone taken out.
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
