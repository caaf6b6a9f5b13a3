/// \file
/// \brief The callers' requests in progress at one entry.
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

/// Takes callers' requests, checks them and has them carried out. Thread-safe.
class RequestService
{
public:
    /// \a addressKeep is how long callers keep the list of entries: an entry that has left the
    /// list takes their requests for so long.
    RequestService(RequestContext context, ZoneName zone, Duration addressKeep,
                   BudgetService &budgets);
    ~RequestService();

    /// Takes in the replicated state.
    auto stateChanged() -> void;
    /// Takes one request.
    auto handle(HttpRequest request, std::shared_ptr<HttpReply> reply) -> void;
    /// Begins a planned stop.
    auto leave() -> void;
    /// Requests that have no whole answer yet.
    [[nodiscard]] auto active() const -> std::size_t;
    /// Whether new requests are taken.
    [[nodiscard]] auto takesWork() const -> bool;

private:
    auto refusal() const -> std::optional<Failure>;
    auto admitted(CallerRequest request, const std::shared_ptr<HttpReply> &reply) -> void;
    auto refuse(const Failure &failure, const RequestId &id,
                const std::shared_ptr<HttpReply> &reply) -> void;
    auto newId(const HttpRequest &request) const -> RequestId;

    RequestContext context_;
    ZoneName zone_;
    Duration addressKeep_;
    BudgetService &budgets_;
    mutable RankedMutex mutex_;
    std::map<RequestId, std::shared_ptr<ActiveRequest>> active_;
    RetryBudget retries_;
    /// Since when this entry is not in the list that callers get.
    std::optional<MonotonicTime> unlistedSince_;
    bool leaving_ = false;
    bool zoneOut_ = false;
};

} // namespace lycheereach
