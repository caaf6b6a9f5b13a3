/// \file
/// \brief Finds the route, workspace and pool of a forwarded request.
#pragma once

#include "base/Ids.h"
#include "state/EngineTimes.h"
#include "state/HttpRoute.h"
#include "state/Workspace.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

struct Declaration;

/// Finds the route, workspace and pool of a forwarded request. Immutable.
class RouteIndex
{
public:
    explicit RouteIndex(const Declaration &declaration);

    /// The route of \a host with the longest prefix of \a target's path; null when there is none.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view target) const
        -> const HttpRoute *;
    /// The workspace that \a key belongs to; null when there is none.
    [[nodiscard]] auto findWorkspace(const std::string &key) const -> const Workspace *;
    /// Whether callers need keys: the declaration has workspaces.
    [[nodiscard]] auto needsKeys() const -> bool { return !workspaces_.empty(); }
    /// The pool that serves \a model on the engines of \a service; \a service itself when it is a
    /// plain service; nothing when the model is unknown.
    [[nodiscard]] auto findPool(const PoolName &service, const std::string &model) const
        -> std::optional<PoolName>;

    /// Seconds for which a request occupies a fully loaded group of \a pool; 0 for a plain service.
    [[nodiscard]] auto estimateGroupSeconds(const PoolName &pool, std::uint64_t promptTokens,
                                            std::uint64_t outputTokens) const -> double;

private:
    /// Inputs of estimateGroupSeconds() for one pool.
    struct PoolTimes
    {
        EngineTimes engineTimes_;
        /// Requests that an engine runs at once; 0 when it is not known.
        std::uint32_t slots_ = 0;
        /// Factor on engineTimes_ for the model of the pool.
        double timeFactor_ = 1;
    };

    /// Routes by host, longest path prefix first.
    std::map<std::string, std::vector<HttpRoute>, std::less<>> routes_;
    std::vector<Workspace> workspaces_;
    /// Position in workspaces_ by the digest of a key.
    std::map<std::string, std::size_t> workspaceByKeyDigest_;
    std::map<std::pair<PoolName, std::string>, PoolName> poolByServiceAndModel_;
    /// Holds each service that has engines; any other is a plain one.
    std::map<PoolName, bool> isEngineService_;
    std::map<PoolName, PoolTimes> poolTimes_;
};

} // namespace lycheereach
