/// \file
/// \brief Chooses the serving group for a request.
#pragma once

#include "base/Time.h"
#include "routing/Choice.h"
#include "routing/GroupChoiceRequest.h"
#include "routing/GroupLoad.h"
#include "routing/PrefixIndex.h"
#include "state/FleetState.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// Chooses the serving group of a pool with the least load relative to its limit. A group of
/// another zone is chosen only when it is less loaded by a margin. A group with more of the prompt
/// in its prefix cache is preferred while it is more loaded by at most a margin. Requests of low
/// priority leave the last part of each limit free. Not thread-safe.
class GroupChooser
{
public:
    GroupChooser(ZoneName ownZone, RandomSource random);

    /// Updates the groups that may get requests; call it after every change of the replicated
    /// state.
    auto update(const FleetState &state) -> void;
    /// Updates the load of a group; ignores reports with another lease number than the current one.
    auto updateLoad(const GroupLoad &load) -> void;
    /// Counts a permit that was requested since the last report.
    auto permitRequested(const GroupId &group) -> void;
    /// Counts a permit that was given up, or whose request ended, since the last report.
    auto permitEnded(const GroupId &group) -> void;

    /// Excludes \a group from choices or admits it again; a new epoch or lease of it admits it too.
    auto setEjected(const GroupId &group, bool ejected) -> void;

    /// The best group; nothing when no group may get requests or has capacity for this one.
    [[nodiscard]] auto choose(const GroupChoiceRequest &request, const PrefixIndex &index) const
        -> std::optional<GroupChoice>;
    /// The choice of \a group, if it may get requests and has capacity.
    [[nodiscard]] auto chooseGroup(const GroupId &group, std::uint32_t priority) const
        -> std::optional<GroupChoice>;
    /// The groups of \a pool that may get requests, with or without free capacity.
    [[nodiscard]] auto routableGroups(const PoolName &pool) const -> std::vector<GroupId>;
    /// Whether any group of \a pool may get requests, with or without free capacity.
    [[nodiscard]] auto hasRoutableGroup(const PoolName &pool) const -> bool;

private:
    /// A group that may get requests.
    struct Target
    {
        GroupChoice choice_;
        bool isSameZone_ = false;
        std::uint32_t limit_ = 0;
        std::uint32_t inUse_ = 0;
        /// Permits taken minus permits ended since the last report.
        std::int32_t pendingPermits_ = 0;
        /// Without a report the limit is unknown, and the group gets one request at a time.
        bool hasReport_ = false;
        bool isEjected_ = false;
    };
    struct Candidate
    {
        /// Load as a fraction of the limit, with the cost of another zone.
        double cost_ = 0;
        std::size_t matchedBlocks_ = 0;
        std::uint64_t tieBreak_ = 0;
        const Target *target_ = nullptr;
    };

    auto target(const GroupId &group) -> Target *;
    static auto bestCandidate(std::vector<Candidate> &candidates, const PrefixChain &prefix,
                              const PrefixIndex &index) -> const Candidate *;
    /// The load with one more request, as a fraction of the limit.
    static auto loadWithOneMore(const Target &target) -> double;
    static auto hasCapacity(const Target &target, std::uint32_t priority) -> bool;

    ZoneName ownZone_;
    RandomSource random_;
    std::map<PoolName, std::map<GroupId, Target>> targets_;
    /// The pool of every group in targets_.
    std::map<GroupId, PoolName> poolOf_;
};

} // namespace lycheereach
