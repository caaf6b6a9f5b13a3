/// \file
/// \brief Picks the group that a request goes to.
#pragma once

#include "base/Time.h"
#include "routing/Choice.h"
#include "routing/ChoiceRequest.h"
#include "routing/PrefixIndex.h"
#include "routing/TargetLoad.h"
#include "state/FleetState.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// Picks among the serving groups of a pool the one with the least load for its limit. A group of
/// another zone is used only when it is less loaded by a margin, and one with more of the prefix
/// is preferred while it is at most a margin more loaded. Low priorities leave the last of a
/// group's capacity to others. Not thread-safe.
class GroupChooser
{
public:
    GroupChooser(ZoneName ownZone, RandomSource random);

    /// Takes in the replicated state: which groups may get work. Call it after every change.
    auto update(const FleetState &state) -> void;
    /// Takes in what a leaseholder says; another lease number than the present one changes nothing.
    auto report(const TargetLoad &load) -> void;
    /// A permit was taken, or the request of one ended, since the last report.
    auto taken(const GroupId &group) -> void;
    auto ended(const GroupId &group) -> void;

    /// Whether to leave \a group out for now; a new epoch or lease of it ends that.
    auto setHeldOff(const GroupId &group, bool heldOff) -> void;

    /// The best group; nothing when none may get work or all are full for this request.
    [[nodiscard]] auto choose(const ChoiceRequest &request, const PrefixIndex &index) const
        -> std::optional<Choice>;
    /// \a group if it may get work and has room.
    [[nodiscard]] auto chooseExactly(const GroupId &group, std::uint32_t priority) const
        -> std::optional<Choice>;
    /// The groups of \a pool that may get work, full or not.
    [[nodiscard]] auto targets(const PoolName &pool) const -> std::vector<GroupId>;
    /// Whether any group of \a pool may get work, full or not.
    [[nodiscard]] auto hasTarget(const PoolName &pool) const -> bool;

private:
    struct Target
    {
        Choice choice_;
        bool sameZone_ = false;
        std::uint32_t limit_ = 0;
        std::uint32_t inUse_ = 0;
        /// Taken less ended since the last report.
        std::int32_t pending_ = 0;
        /// Without a report one request at a time is tried.
        bool isReported_ = false;
        bool heldOff_ = false;
    };
    struct Candidate
    {
        double cost_ = 0;
        std::size_t matched_ = 0;
        std::uint64_t tieBreak_ = 0;
        const Target *target_ = nullptr;
    };

    auto target(const GroupId &group) -> Target *;
    static auto pick(std::vector<Candidate> &candidates, const PrefixChain &prefix,
                     const PrefixIndex &index) -> const Candidate *;
    static auto loadAfter(const Target &target) -> double;
    static auto hasRoom(const Target &target, std::uint32_t priority) -> bool;

    ZoneName ownZone_;
    RandomSource random_;
    std::map<PoolName, std::map<GroupId, Target>> targets_;
    std::map<GroupId, PoolName> poolOf_;
};

} // namespace lycheereach
