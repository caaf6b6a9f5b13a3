/// \file
/// \brief Accepts and runs the requests of callers at one entry.
#pragma once

#include "base/RankedMutex.h"
#include "gateway/RequestContext.h"
#include "requests/RetryBudget.h"
#include "transport/HttpReply.h"
#include "transport/HttpRequest.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>

namespace lycheereach {

class ActiveRequest;
class BudgetService;
struct CallerRequest;

/// Validates each request, checks the budget of its workspace and runs an ActiveRequest for it.
/// Thread-safe.
class RequestService
{
public:
    /// \a entryListTtl is how long callers cache the list of entries: an entry that has left the
    /// list keeps accepting requests for this time.
    RequestService(RequestContext context, ZoneName zone, Duration entryListTtl,
                   BudgetService &budgets);
    ~RequestService();

    /// Updates the retry budget and the state of the zone from the replicated state. Call it after
    /// every change.
    auto stateChanged() -> void;
    /// Starts or refuses one request.
    auto handle(HttpRequest request, std::shared_ptr<HttpReply> reply) -> void;
    /// Begins a planned shutdown of the entry.
    auto leave() -> void;
    /// Number of requests in progress.
    [[nodiscard]] auto active() const -> std::size_t;
    /// Whether the entry accepts new requests.
    [[nodiscard]] auto isReady() const -> bool;

private:
    /// The failure of new requests when callers can no longer have this entry in their list.
    auto unlistedRefusal() const -> std::optional<Failure>;
    /// Runs a request that is within the budget of its workspace.
    auto startRequest(CallerRequest request, const std::shared_ptr<HttpReply> &reply) -> void;
    auto refuse(const Failure &failure, const RequestId &id,
                const std::shared_ptr<HttpReply> &reply) -> void;
    /// A unique id that starts with the caller's `X-Request-Id` if that is usable.
    auto makeRequestId(const HttpRequest &request) const -> RequestId;

    RequestContext context_;
    ZoneName zone_;
    Duration entryListTtl_;
    BudgetService &budgets_;
    mutable RankedMutex mutex_;
    std::map<RequestId, std::shared_ptr<ActiveRequest>> activeRequests_;
    RetryBudget retryBudget_;
    /// Since when this entry is missing from the list of entries that callers get; nothing while it
    /// is listed.
    std::optional<MonotonicTime> unlistedSince_;
    bool isLeaving_ = false;
    bool isZoneOut_ = false;
};

} // namespace lycheereach
