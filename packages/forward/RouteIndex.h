/// \file
/// \brief Finds the route and the workspace of a forwarded request.
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

/// Finds the route and the workspace of a forwarded request. Immutable.
class RouteIndex
{
public:
    explicit RouteIndex(const Declaration &declaration);

    /// The route of \a host with the longest prefix of \a target's path; null when there is none.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view target) const
        -> const HttpRoute *;
    /// The workspace that holds \a key; null when there is none.
    [[nodiscard]] auto findWorkspace(const std::string &key) const -> const Workspace *;
    /// Whether callers need keys at all.
    [[nodiscard]] auto needsKeys() const -> bool { return !workspaces_.empty(); }
    /// The pool of the engines of \a service that serves \a model; \a service itself when it is a
    /// plain one; nothing when the model is unknown.
    [[nodiscard]] auto findPool(const PoolName &service, const std::string &model) const
        -> std::optional<PoolName>;

    /// Seconds of a full group of \a pool that a request takes; 0 for a plain service.
    [[nodiscard]] auto estimateGroupSeconds(const PoolName &pool, std::uint64_t promptTokens,
                                            std::uint64_t outputTokens) const -> double;

private:
    /// What the work of a request at a pool is reckoned from.
    struct PoolTimes
    {
        EngineTimes engineTimes_;
        std::uint32_t slots_ = 0;
        double timeFactor_ = 1;
    };

    /// Of each host, longest prefix first.
    std::map<std::string, std::vector<HttpRoute>, std::less<>> routes_;
    std::vector<Workspace> workspaces_;
    /// By the digest of a key.
    std::map<std::string, std::size_t> workspaceByKeyDigest_;
    std::map<std::pair<PoolName, std::string>, PoolName> poolByServiceAndModel_;
    std::map<PoolName, bool> isEngineService_;
    std::map<PoolName, PoolTimes> poolTimes_;
};

} // namespace lycheereach
