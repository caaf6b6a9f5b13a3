/// \file
/// \brief Accepts and forwards the requests of one entry.
#pragma once

#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "forward/DeclarationAge.h"
#include "forward/DemandMeter.h"
#include "forward/ForwardContext.h"
#include "forward/ForwardRetryBudget.h"
#include "forward/HeldRequests.h"
#include "transport/HttpInputLimits.h"
#include "transport/HttpRequest.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

class ControlService;
class ForwardedRequest;
class HttpReply;
class RouteIndex;
struct HttpRoute;

/// Finds route, workspace and pool of each request and runs a ForwardedRequest for it. Thread-safe;
/// guarded by one lock of rank LockRank::Requests, under which no other lock of that rank is taken.
class ForwardService
{
public:
    ForwardService(ControlService &control, ForwardContext context, RandomSource random);
    ~ForwardService();
    ForwardService(const ForwardService &) = delete;
    auto operator=(const ForwardService &) -> ForwardService & = delete;

    /// Updates routes and targets from the replicated state. Call it after every change.
    auto updateFromState() -> void;
    /// Forwards or refuses held requests, detects stalled groups and moves their streams. Call it
    /// several times within the shortest timeout for a stalled stream.
    auto tick() -> void;
    /// Forwards, holds or refuses one request.
    auto handle(HttpRequest request, std::shared_ptr<HttpReply> reply) -> void;
    /// Begins a planned shutdown of the entry, which calls endRemainingRequests() at \a
    /// requestsEndAt.
    auto beginShutdown(MonotonicTime requestsEndAt) -> void;
    /// Answers or breaks off every request in progress or held, since the process is about to end.
    auto endRemainingRequests() -> void;
    /// Time since \a upstream last sent events of a stream; nothing when it never did.
    [[nodiscard]] auto timeSinceProgress(const UpstreamId &upstream) const
        -> std::optional<Duration>;
    /// Asks for a call of ForwardContext::onProgress_ at the next progress of \a upstream.
    auto notifyOnNextProgress(const UpstreamId &upstream) -> void;
    /// Number of forwarded requests in progress, without held ones.
    [[nodiscard]] auto activeRequestCount() const -> std::size_t;
    /// The recent demand of callers for each pool.
    [[nodiscard]] auto demand() const -> std::vector<PoolDemand>;
    /// The limits of the declaration for requests; the defaults before there is one.
    [[nodiscard]] auto inputLimits() const -> HttpInputLimits;
    /// Whether the entry has a declaration and a live state lease, as new requests need.
    [[nodiscard]] auto isReady() const -> bool;

private:
    auto refuse(const ForwardRequest &request, std::uint16_t status, const std::string &reason,
                const std::shared_ptr<HttpReply> &reply,
                std::optional<Duration> retryAfter = std::nullopt) -> void;
    /// Whether this entry shuts down and \a request may not complete before.
    [[nodiscard]] auto isTooLate(const ForwardRequest &request, const HttpRoute &route) const
        -> bool;
    auto refuseStopping(const ForwardRequest &request, const std::shared_ptr<HttpReply> &reply)
        -> void;
    auto forward(ForwardRequest request, const RouteIndex &index,
                 const std::shared_ptr<HttpReply> &reply) -> void;
    /// Forwards all held requests when the entry is ready; otherwise refuses the expired ones.
    auto releaseHeldRequests() -> void;
    /// Holds a request that arrives while the entry is not ready; false when it has to be refused.
    auto holdRequest(ForwardRequest &request, const std::shared_ptr<HttpReply> &reply) -> bool;
    auto refuseNotReady(const ForwardRequest &request, const std::shared_ptr<HttpReply> &reply)
        -> void;
    /// The routes when the entry may serve requests, otherwise null.
    auto indexIfReady() -> std::shared_ptr<const RouteIndex>;
    /// Records in the replicated state, once, that the fleet has had traffic.
    auto recordFirstTraffic() -> void;
    [[nodiscard]] auto activeRequests() const -> std::vector<std::shared_ptr<ForwardedRequest>>;
    auto removeFinished(const ForwardedRequest *request) -> void;
    auto tryTakeRetry(const PoolName &service) -> bool;
    [[nodiscard]] auto declarationAge() const -> DeclarationAge;

    ControlService &control_;
    ForwardContext context_;
    RandomSource random_;
    mutable RankedMutex mutex_;
    std::shared_ptr<const RouteIndex> index_;
    HttpInputLimits inputLimits_;
    /// Version of the replicated state that index_ was built from.
    std::uint64_t indexVersion_ = 0;
    std::map<const ForwardedRequest *, std::shared_ptr<ForwardedRequest>> activeRequests_;
    HeldRequests heldRequests_;
    std::atomic<bool> isTrafficRecorded_ = false;
    std::atomic<bool> isLeaving_ = false;
    /// Whether this process has been ready to serve a request since its start.
    std::atomic<bool> hasServed_ = false;
    /// Set before isLeaving_: requests that arrive later are refused, and those in progress are
    /// ended at requestsEndAt_.
    MonotonicTime acceptsUntil_;
    MonotonicTime requestsEndAt_;
    /// Guards the members that follow; locked under the lock of a request, so its rank
    /// differs.
    mutable RankedMutex accountingMutex_;
    ForwardRetryBudget retryBudget_;
    DemandMeter demandMeter_;
    /// The version of index_, and since when it is in use.
    Version declarationVersion_ = 0;
    MonotonicTime declarationSince_;
};

} // namespace lycheereach
