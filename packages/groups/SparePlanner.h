/// \file
/// \brief Decides which weights spares load, and prepares them to join a group.
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

/// Decides which weights spares load, and prepares them to join a group.
///
/// An engine whose last group served a model joins another group of that model in a small fraction
/// of the time that an engine needs that only has the weights on its host. So a spare is prepared:
/// it joins a standby group of its own, which is never opened, and leaves it once it is ready.
/// After that its host loads the weights of another model that it may be needed for.
/// Not thread-safe.
class SparePlanner
{
public:
    /// Records which model each engine was last ready to serve, and which engines are preparing.
    auto observe(const FleetState &state, MonotonicTime now) -> void;
    /// Steps for \a spares, free engines that the pools of \a engines share. A spare loads a second
    /// model only if \a isStable holds for its domain: otherwise it may soon be back in a group.
    auto plan(const FleetState &state, const PoolName &engines,
              const std::vector<FreeInstance> &spares,
              const std::function<bool(const FabricDomain &)> &isStable) const
        -> std::vector<SpareStep>;
    /// Loads of a second model onto the hosts of members of serving groups of \a engines. A member
    /// can join another group of the model that it serves without the weights on its host, so after
    /// the loss of another member it can serve either model. As many members load the second model
    /// as its groups could use.
    auto planMemberLoads(const FleetState &state, const PoolName &engines) const
        -> std::vector<SpareStep>;
    /// Whether the last group that \a upstream was ready in served \a model.
    [[nodiscard]] auto isPrepared(const Upstream &upstream, const std::string &model) const -> bool;
    /// Whether \a upstream is getting ready in its standby group and has not exceeded the time for
    /// it.
    [[nodiscard]] auto isPreparing(const Upstream &upstream, MonotonicTime now) const -> bool;

    /// The id of the standby group of \a upstream.
    static auto standbyGroup(const UpstreamId &upstream) -> GroupId;

private:
    /// What was observed of one incarnation of an engine.
    struct EngineHistory
    {
        Incarnation incarnation_ = 0;
        /// The model of the last group in which it was ready; empty when there is none.
        std::string lastModel_;
        /// When it began to get ready in its standby group; valid while isPreparing_.
        MonotonicTime preparingSince_;
        bool isPreparing_ = false;
    };

    /// Whether \a upstream can join a group of \a pool without a load of weights.
    [[nodiscard]] auto canJoinWithoutLoad(const Upstream &upstream, const Pool &pool) const -> bool;
    /// The model of the last group in which \a upstream was ready; empty when there is none.
    [[nodiscard]] auto lastModel(const Upstream &upstream) const -> std::string;

    std::map<UpstreamId, EngineHistory> histories_;
};

} // namespace lycheereach
