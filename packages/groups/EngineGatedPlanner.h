/// \file
/// \brief Plans groups whose first engine itself opens and closes the group to requests.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/LoadRateLimiter.h"
#include "groups/OrderTracker.h"
#include "groups/PlannerAction.h"
#include "groups/SparePlanner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

struct FleetState;
struct FreeInstance;
struct EngineGatedPlannerInputs;
struct Group;
struct Pool;
struct RegroupCandidate;
struct Upstream;

/// Plans groups whose first engine, the head, itself opens and closes the group's gate: the head
/// accepts requests from an order to open until an order to close, and no other process checks its
/// group.
///
/// The gate is opened only after every member has announced that it is ready in the group's epoch.
/// A group that lost a member, or is to end, is closed first. Its members become free when the head
/// announces that it left the group, when the head's process is known to have ended, or when the
/// engines' stall time has passed since a member left the group: by then the remaining engines have
/// stopped serving the group by themselves. Groups are not repaired in place: the remaining
/// members, whose weights are still loaded, form a new group. Runs on the control leader. Not
/// thread-safe.
class EngineGatedPlanner
{
public:
    /// Records the times of changes in \a state. Called for every change, also on followers.
    auto observe(const FleetState &state, MonotonicTime now) -> void;
    /// The next steps for \a state. Every order in the result is in flight until orderEnded().
    auto plan(const FleetState &state, const EngineGatedPlannerInputs &inputs)
        -> std::vector<PlannerAction>;
    /// Records that the order in flight to \a upstream was answered, or that its connection is
    /// closed for good.
    auto orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void;
    /// Discards the orders in flight and the pending loads at the start of a term of leadership.
    auto reset() -> void;

private:
    /// The inputs and results of one call of plan().
    struct Pass
    {
        const FleetState &state_;
        const EngineGatedPlannerInputs &inputs_;
        std::vector<PlannerAction> actions_;
        std::size_t formedGroups_ = 0;
        /// Domains with a group that has just ended and has members that are not free yet.
        std::set<FabricDomain> releasingDomains_;
    };

    auto planGroup(Pass &pass, const Group &group) -> void;
    auto planJoins(Pass &pass, const Group &group, const Pool &pool) -> void;
    auto planGateOpening(Pass &pass, const Group &group) -> void;
    auto planGroupEnd(Pass &pass, const Group &group) -> void;
    /// Whether \a group is incomplete only because members have been silent for a moment, so that
    /// its streams may go on.
    [[nodiscard]] auto mayResume(const Pass &pass, const Group &group) const -> bool;
    [[nodiscard]] auto isGateClosed(const Pass &pass, const Group &group) const -> bool;
    /// Whether the fleet has traffic, or probably all engines of a fleet that has just started have
    /// announced themselves.
    auto isDiscoveryComplete(const Pass &pass) -> bool;
    auto planNewGroups(Pass &pass) -> void;
    /// The free instances of \a pool that are not in \a used. Those that are prepared for the
    /// pool's model count as if they held its weights.
    [[nodiscard]] auto unusedInstances(const Pass &pass, const Pool &pool,
                                       const std::set<UpstreamId> &used) const
        -> std::vector<FreeInstance>;
    /// The unused instances for a group when no other pool needs one more: under traffic only those
    /// that need no load of weights.
    [[nodiscard]] auto replacementInstances(const Pass &pass, const Pool &pool,
                                            const std::set<UpstreamId> &used) const
        -> std::vector<FreeInstance>;
    /// The unused instances for a group while another pool has less capacity for its work: those
    /// that need no load of weights, in stable domains that keep spares.
    [[nodiscard]] auto surplusInstances(const Pass &pass, const Pool &pool,
                                        const std::set<UpstreamId> &used) const
        -> std::vector<FreeInstance>;
    /// Whether no group of \a domain has formed or ended for domainStablePeriod.
    [[nodiscard]] auto isDomainStable(const Pass &pass, const FabricDomain &domain) const -> bool;
    /// Orders engines that announce a group in which the state does not have them to leave it.
    auto planOrphans(Pass &pass) -> void;
    /// Ends groups of a pool that has enough of them, so that their members can form a group of the
    /// pool with the least capacity for its work.
    auto planRegrouping(Pass &pass, const PoolName &engines) -> void;
    /// The instances that may be regrouped, free and in groups.
    [[nodiscard]] auto regroupCandidates(const Pass &pass,
                                         const std::vector<const Pool *> &pools) const
        -> std::vector<RegroupCandidate>;
    /// Updates lostSince_.
    auto trackLostUpstreams(const FleetState &state, MonotonicTime now) -> void;
    /// Updates brokenSince_.
    auto trackBrokenGroups(const FleetState &state, MonotonicTime now) -> void;
    auto planSpares(Pass &pass, const PoolName &engines, const std::vector<FreeInstance> &spares)
        -> void;
    /// Takes a load from the rate limit of \a engines; false when none may begin now.
    auto tryAcquireLoad(const Pass &pass, const PoolName &engines) -> bool;
    /// Whether the weight store has capacity for a load onto a spare. A load of a second model
    /// (\a isSecondModel) may use only half of it.
    [[nodiscard]] auto hasLoadCapacityForSpare(const Pass &pass, bool isSecondModel) const -> bool;
    /// Removes loads that have finished or timed out from pendingLoads_.
    auto removeEndedLoads(const Pass &pass) -> void;

    /// A load of weights that an engine was ordered to carry out.
    struct PendingLoad
    {
        std::string model_;
        MonotonicTime orderedAt_;
    };

    OrderTracker orders_;
    std::map<UpstreamId, PendingLoad> pendingLoads_;
    SparePlanner spares_;
    /// Limits on loads, by the engines that pools share.
    std::map<PoolName, LoadRateLimiter> loadLimiters_;
    /// The most groups that each pool has had.
    std::map<PoolName, std::size_t> peakGroupCount_;
    /// When a group of each fabric domain was last seen in a phase other than Serving.
    std::map<FabricDomain, MonotonicTime> lastTransitionAt_;
    /// The number of known upstreams, and when it last changed.
    std::size_t upstreamCount_ = 0;
    MonotonicTime upstreamCountSince_;
    /// Groups that are being ended to form one of another pool.
    std::set<GroupId> donorGroups_;
    /// No other groups are ended for regrouping before this time.
    MonotonicTime nextRegroupAt_;
    /// When spares and the distribution of engines over pools were last reviewed.
    MonotonicTime lastReviewAt_;
    /// When each lost upstream was first seen as lost.
    std::map<UpstreamId, MonotonicTime> lostSince_;
    /// For groups whose head is lost: when a member was first seen outside the group.
    std::map<GroupId, MonotonicTime> brokenSince_;
};

} // namespace lycheereach
