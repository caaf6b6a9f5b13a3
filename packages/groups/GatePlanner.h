/// \file
/// \brief Plans the groups of engines that keep the gate of their group themselves.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/GateOrders.h"
#include "groups/LoadRate.h"
#include "groups/PlannerAction.h"
#include "groups/SparePlanner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

struct FleetState;
struct FreeInstance;
struct GatePlannerInputs;
struct Group;
struct Pool;
struct RegroupCandidate;
struct Upstream;

/// Plans the groups of engines that keep the gate of their group themselves: the first member takes
/// requests between an order to open and an order to close, and nobody else checks its group.
///
/// The gate is opened only after every member announced itself ready in the group's epoch. A group
/// that lost a member, or is to end, is closed first; its members are free once the first member
/// says that the gate is closed, its process is known to have ended, or the group must have broken
/// because a member left it longer ago than a group stands still. Groups are never repaired in
/// place: the members that are left form a new group, with weights that are still loaded.
/// Runs on the control leader. Not thread-safe.
class GatePlanner
{
public:
    /// Takes in \a state; for every change, also while another process leads.
    auto observe(const FleetState &state, MonotonicTime now) -> void;
    /// The next steps for \a state. Every order in the result is in flight until orderEnded().
    auto plan(const FleetState &state, const GatePlannerInputs &inputs)
        -> std::vector<PlannerAction>;
    /// The order in flight to \a upstream was answered, or its connection is closed for good.
    auto orderEnded(const UpstreamId &upstream, bool accepted, MonotonicTime now) -> void;
    /// Forgets all that is in flight; for a new term of leadership.
    auto reset() -> void;

private:
    struct Pass
    {
        const FleetState &state_;
        const GatePlannerInputs &inputs_;
        std::vector<PlannerAction> actions_;
        std::size_t formed_ = 0;
        /// Domains where a group has just ended whose members are not all free yet.
        std::set<FabricDomain> unsettled_;
    };

    auto planGroup(Pass &pass, const Group &group) -> void;
    auto planJoins(Pass &pass, const Group &group, const Pool &pool) -> void;
    auto planOpening(Pass &pass, const Group &group) -> void;
    auto planEnd(Pass &pass, const Group &group) -> void;
    [[nodiscard]] auto isGateClosed(const Pass &pass, const Group &group) const -> bool;
    /// Whether all engines of a fleet that has just started have probably announced themselves.
    auto hasSettled(const Pass &pass) -> bool;
    auto planNewGroups(Pass &pass) -> void;
    /// The free instances of \a pool that \a used does not name; those that are prepared for its
    /// model count as if they held the weights.
    [[nodiscard]] auto unused(const Pass &pass, const Pool &pool,
                              const std::set<UpstreamId> &used) const -> std::vector<FreeInstance>;
    /// As unused(), for a group that the pool had before.
    [[nodiscard]] auto usable(const Pass &pass, const Pool &pool,
                              const std::set<UpstreamId> &used) const -> std::vector<FreeInstance>;
    /// As unused(), for a group that the pool did not have before: where no load is needed and
    /// spares are left.
    [[nodiscard]] auto spareInstances(const Pass &pass, const Pool &pool,
                                      const std::set<UpstreamId> &used) const
        -> std::vector<FreeInstance>;
    /// Whether no group of \a domain has begun or ended for a while.
    [[nodiscard]] auto isAtRest(const Pass &pass, const FabricDomain &domain) const -> bool;
    auto planStrays(Pass &pass) -> void;
    /// Ends groups of a pool with enough of them for one that has too few.
    auto planRegrouping(Pass &pass, const PoolName &engines) -> void;
    /// The instances that may be regrouped, free and in groups.
    [[nodiscard]] auto regroupCandidates(const Pass &pass,
                                         const std::vector<const Pool *> &pools) const
        -> std::vector<RegroupCandidate>;
    /// Takes in that members of a group whose first member is lost are out of it.
    auto noteBroken(const FleetState &state, MonotonicTime now) -> void;
    auto planSpares(Pass &pass, const PoolName &engines, const std::vector<FreeInstance> &spares)
        -> void;
    auto mayLoad(const Pass &pass, const PoolName &engines) -> bool;
    /// Whether the weight store has room for a load onto a spare, and for one that \a isSecond.
    [[nodiscard]] auto hasRoomForSpare(const Pass &pass, bool isSecond) const -> bool;
    /// Forgets loads that have ended.
    auto noteLoads(const Pass &pass) -> void;

    /// A load that was ordered.
    struct Loading
    {
        std::string model_;
        MonotonicTime since_;
    };

    GateOrders orders_;
    /// Engines that load weights.
    std::map<UpstreamId, Loading> loading_;
    SparePlanner spares_;
    std::map<PoolName, LoadRate> loads_;
    /// The most groups that each pool has had.
    std::map<PoolName, std::size_t> mostGroups_;
    /// When a group of each fabric domain last was not serving.
    std::map<FabricDomain, MonotonicTime> changedAt_;
    /// How many engines were known, and since when.
    std::size_t known_ = 0;
    MonotonicTime knownSince_;
    /// Groups that are taken apart for another pool, and until when others are left alone.
    std::set<GroupId> takenApart_;
    MonotonicTime regroupAfter_;
    /// When spares and the balance of the pools were reviewed last.
    MonotonicTime reviewedAt_;
    /// Since when a member of a group whose first member is lost has been out of it.
    std::map<GroupId, MonotonicTime> brokenSince_;
};

} // namespace lycheereach
