/// \file
/// \brief The forwarded requests in progress at one entry.
#pragma once

#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "forward/DemandMeter.h"
#include "forward/ForwardContext.h"
#include "forward/ForwardRetryBudget.h"
#include "forward/HeldRequests.h"
#include "transport/HttpRequest.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lycheereach {

class ControlService;
class ForwardedRequest;
class HttpReply;
class RouteIndex;

/// Takes the requests that routes by host and path forward, and has them carried out. Thread-safe;
/// guarded by one lock of rank LockRank::Requests that is never held over another of that rank.
class ForwardService
{
public:
    ForwardService(ControlService &control, ForwardContext context, RandomSource random);
    ~ForwardService();
    ForwardService(const ForwardService &) = delete;
    auto operator=(const ForwardService &) -> ForwardService & = delete;

    /// Takes in the replicated state.
    auto stateChanged() -> void;
    /// Looks for groups that stand still and moves their streams. Call it several times in the
    /// shortest silence that a stream may have.
    auto tick() -> void;
    /// Takes one request.
    auto handle(HttpRequest request, std::shared_ptr<HttpReply> reply) -> void;
    /// Begins a planned stop.
    auto leave() -> void;
    /// How long ago \a upstream last gave a part of an answer; nothing when it never did.
    [[nodiscard]] auto servedAgo(const UpstreamId &upstream) const -> std::optional<Duration>;
    /// The next progress of \a upstream is asked for.
    auto awaitProgress(const UpstreamId &upstream) -> void;
    /// Requests that have no whole answer yet.
    [[nodiscard]] auto active() const -> std::size_t;
    /// What callers have asked of each pool lately.
    [[nodiscard]] auto demand() const -> std::vector<PoolDemand>;
    /// Whether new requests can be taken.
    [[nodiscard]] auto takesWork() const -> bool;

private:
    auto refuse(const ForwardRequest &request, std::uint16_t status, const std::string &reason,
                const std::shared_ptr<HttpReply> &reply) -> void;
    auto forward(ForwardRequest request, const RouteIndex &index,
                 const std::shared_ptr<HttpReply> &reply) -> void;
    /// Has the requests that waited carried out, or refuses those that have waited long enough.
    auto releaseHeldRequests() -> void;
    /// Keeps a request that comes while the entry takes no work; false when it is to be refused.
    auto holdRequest(ForwardRequest &request, const std::shared_ptr<HttpReply> &reply) -> bool;
    auto refuseNotReady(const ForwardRequest &request, const std::shared_ptr<HttpReply> &reply)
        -> void;
    /// The routes, when the entry may take work.
    auto indexIfReady() -> std::shared_ptr<const RouteIndex>;
    auto recordFirstTraffic() -> void;
    auto removeFinished(const ForwardedRequest *request) -> void;
    auto takeRetry(const PoolName &service) -> bool;

    ControlService &control_;
    ForwardContext context_;
    RandomSource random_;
    mutable RankedMutex mutex_;
    std::shared_ptr<const RouteIndex> index_;
    std::uint64_t indexVersion_ = 0;
    std::map<const ForwardedRequest *, std::shared_ptr<ForwardedRequest>> activeRequests_;
    HeldRequests heldRequests_;
    std::atomic<bool> isTrafficRecorded_ = false;
    std::atomic<bool> isLeaving_ = false;
    /// Whether this process has taken a request since its start.
    std::atomic<bool> hasServed_ = false;
    MonotonicTime leavingSince_;
    /// Taken while a request holds its own lock, so it has a rank of its own.
    mutable RankedMutex accountingMutex_;
    ForwardRetryBudget retryBudget_;
    DemandMeter demandMeter_;
};

} // namespace lycheereach
