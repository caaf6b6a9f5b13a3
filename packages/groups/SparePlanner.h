/// \file
/// \brief Which weights spares hold, and which of them are prepared to join a group.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/FreeInstance.h"
#include "groups/SpareStep.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lycheereach {

struct FleetState;
struct Pool;
struct Upstream;

/// Decides which weights spares hold, and which of them are prepared to join a group.
///
/// An engine whose last group served a model joins another group of that model in a small part of
/// the time that one with the weights on its host needs. So a spare joins a standby group of its
/// own, which is never opened, and leaves it once it is ready. After that its host takes the
/// weights of the other model that it may be needed for. Not thread-safe.
class SparePlanner
{
public:
    /// Notes which model the group of each engine serves.
    auto observe(const FleetState &state, MonotonicTime now) -> void;
    /// Steps for \a spares, free engines that the pools of \a engines draw from. Those in domains
    /// that \a isAtRest denies take no second model: their group is perhaps about to come back.
    auto plan(const FleetState &state, const PoolName &engines,
              const std::vector<FreeInstance> &spares,
              const std::function<bool(const FabricDomain &)> &isAtRest) const
        -> std::vector<SpareStep>;
    /// Loads of the weights of another model onto the hosts of members of serving groups of
    /// \a engines. A member joins a group of the model that it serves without its host's weights,
    /// so after the loss of another member it may go on with either model. As many members take
    /// other weights as groups of the other model may need.
    auto planMembers(const FleetState &state, const PoolName &engines) const
        -> std::vector<SpareStep>;
    /// Whether the last group that \a upstream was ready in served \a model.
    [[nodiscard]] auto isPrepared(const Upstream &upstream, const std::string &model) const -> bool;
    /// Whether \a upstream is on its way into a standby group and is to be left there.
    [[nodiscard]] auto isPreparing(const Upstream &upstream, MonotonicTime now) const -> bool;

    /// The standby group of \a upstream.
    static auto standbyGroup(const UpstreamId &upstream) -> GroupId;

private:
    /// What is known of one incarnation of an engine.
    struct Known
    {
        Incarnation incarnation_ = 0;
        /// The model of its last group that it was ready in.
        std::string model_;
        /// Since when it has been on its way into a standby group.
        MonotonicTime preparingSince_;
        bool isPreparing_ = false;
    };

    /// Whether \a upstream joins a group of \a pool without a load.
    [[nodiscard]] auto mayJoin(const Upstream &upstream, const Pool &pool) const -> bool;
    /// The model of the last group that \a upstream was ready in; empty when there is none.
    [[nodiscard]] auto lastModel(const Upstream &upstream) const -> std::string;

    std::map<UpstreamId, Known> known_;
};

} // namespace lycheereach
