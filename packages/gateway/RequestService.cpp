#include "gateway/RequestService.h"

#include "control/ControlService.h"
#include "gateway/ActiveRequest.h"
#include "gateway/BudgetService.h"
#include "gateway/ProblemResponse.h"
#include "gateway/RequestReader.h"
#include "gateway/SuspicionService.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto maxCallerIdLength = std::size_t{64};
constexpr auto refusalRetryAfter = std::chrono::milliseconds(100);

auto isRequestIdCharacter(char c) -> bool
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-'
        || c == '_' || c == '.';
}

auto workspaceOrDefault(const Declaration &declaration, const WorkspaceName &name) -> Workspace
{
    for (const auto &workspace : declaration.workspaces_) {
        if (workspace.name_ == name)
            return workspace;
    }
    return Workspace{.name_ = name};
}

} // namespace

RequestService::RequestService(RequestContext context, ZoneName zone, Duration entryListTtl,
                               BudgetService &budgets)
    : context_(std::move(context))
    , zone_(std::move(zone))
    , entryListTtl_(entryListTtl)
    , budgets_(budgets)
    , mutex_(LockRank::Requests)
    , retryBudget_(Policy{}.retryPercent_)
{
    context_.tryTakeRetry_ = [this] {
        const auto lock = std::scoped_lock(mutex_);
        return retryBudget_.tryTakeRetry(context_.now_());
    };
}

RequestService::~RequestService() = default;

auto RequestService::stateChanged() -> void
{
    context_.control_.readState([this](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        retryBudget_.setPercent(state.declaration_.defaults_.retryPercent_);
        isZoneOut_ = isZoneOut(state, zone_);
        if (!isZoneOut_ && !isLeaving_)
            unlistedSince_.reset();
        else if (!unlistedSince_)
            unlistedSince_ = context_.now_();
    });
}

auto RequestService::leave() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    isLeaving_ = true;
    if (!unlistedSince_)
        unlistedSince_ = context_.now_();
}

auto RequestService::unlistedRefusal() const -> std::optional<Failure>
{
    const auto lock = std::scoped_lock(mutex_);
    if (!unlistedSince_ || context_.now_() - *unlistedSince_ < entryListTtl_)
        return std::nullopt;
    return Failure{.code_ = Error::ShuttingDown,
                   .message_ = "this entry takes no new requests; ask GET /v1/entries for another",
                   .retryAfter_ = refusalRetryAfter};
}

auto RequestService::isReady() const -> bool
{
    return !unlistedRefusal() && context_.control_.mayTakeWork();
}

auto RequestService::makeRequestId(const HttpRequest &request) const -> RequestId
{
    static constexpr auto hexadecimal = 16;
    auto digits = std::array<char, hexadecimal>{};
    auto *const end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                    context_.random_(), hexadecimal)
                          .ptr;
    const auto uniquePart = std::string(digits.data(), end);
    const auto callerId = request.headers_.value("X-Request-Id");
    const auto isUsable = !callerId.empty() && callerId.size() <= maxCallerIdLength
        && std::all_of(callerId.begin(), callerId.end(), isRequestIdCharacter);
    return RequestId(isUsable ? callerId + "." + uniquePart : "r-" + uniquePart);
}

auto RequestService::handle(HttpRequest request, std::shared_ptr<HttpReply> reply) -> void
{
    const auto id = makeRequestId(request);
    if (const auto failure = unlistedRefusal()) {
        refuse(*failure, id, reply);
        return;
    }
    auto workspace = Workspace{};
    auto callerRequest = context_.control_.readState([&](const FleetState &state) {
        auto result = readCallerRequest(request, state.declaration_, id, context_.now_());
        if (result)
            workspace = workspaceOrDefault(state.declaration_, result->workspace_);
        return result;
    });
    if (!callerRequest) {
        if (callerRequest.failure().code_ == Error::Unauthorized)
            context_.event_(Event{EventNumber::KeyRejected, {{"request", id.text()}}});
        refuse(callerRequest.failure(), id, reply);
        return;
    }
    context_.event_(
        Event{EventNumber::RequestReceived,
              {{"request", id.text()}, {"workspace", callerRequest->workspace_.text()}}});
    const auto done = [this, callerRequest = std::move(callerRequest.value()),
                       reply](bool isAdmitted, Duration retryAfter) {
        if (isAdmitted) {
            startRequest(callerRequest, reply);
            return;
        }
        context_.event_(Event{EventNumber::BudgetExceeded,
                              {{"request", callerRequest.id_.text()},
                               {"workspace", callerRequest.workspace_.text()}}});
        refuse(Failure{.code_ = Error::Overloaded,
                       .message_ = "workspace '" + callerRequest.workspace_.text()
                           + "' has spent its budget of requests",
                       .retryAfter_ = retryAfter},
               callerRequest.id_, reply);
    };
    budgets_.admit(workspace, done);
}

auto RequestService::startRequest(CallerRequest request, const std::shared_ptr<HttpReply> &reply)
    -> void
{
    const auto policy = context_.control_.readState([&](const FleetState &state) {
        return policyFor(state.declaration_, zone_, request.pool_, UpstreamId());
    });
    const auto suspicion = context_.suspicion_.ruling(request.fingerprints_);
    if (suspicion == SuspicionStatus::Blocked)
        context_.suspicion_.requestRefused(request.fingerprints_);
    const auto id = request.id_;
    const auto onFinished = [this](const RequestId &ended) {
        const auto lock = std::scoped_lock(mutex_);
        activeRequests_.erase(ended);
    };
    const auto active = std::make_shared<ActiveRequest>(context_, std::move(request), policy,
                                                        suspicion, reply, onFinished);
    {
        const auto lock = std::scoped_lock(mutex_);
        retryBudget_.recordFirstAttempt();
        activeRequests_[id] = active;
    }
    active->post(request_event::Start{});
}

auto RequestService::refuse(const Failure &failure, const RequestId &id,
                            const std::shared_ptr<HttpReply> &reply) -> void
{
    context_.event_(Event{EventNumber::RequestRefused,
                          {{"request", id.text()},
                           {"verdict", std::string(toString(failure.verdict_))},
                           {"reason", failure.message_}}});
    auto response = failureResponse(failure, id);
    response.headers_.add("X-Entry", context_.self_.text());
    reply->send(std::move(response));
}

auto RequestService::active() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return activeRequests_.size();
}

} // namespace lycheereach
