#include "forward/ForwardService.h"

#include "control/ControlService.h"
#include "forward/CrashWatch.h"
#include "forward/ForwardedRequest.h"
#include "forward/RouteIndex.h"
#include "forward/TargetTable.h"
#include "transport/HttpReply.h"

#include <algorithm>
#include <mutex>
#include <numeric>
#include <utility>

namespace lycheereach {

namespace {

constexpr std::uint16_t unauthorized = 401;
constexpr std::uint16_t notFound = 404;
constexpr std::uint16_t unavailable = 503;
/// Retry-After while this entry serves no requests; short, since another entry may serve the
/// caller.
constexpr auto notReadyRetryAfter = std::chrono::milliseconds(300);
/// Retry-After of an entry that has not served since its start: when the whole fleet starts, the
/// election of a leader takes one to two seconds.
constexpr auto startupRetryAfter = std::chrono::milliseconds(1500);

/// Retry-After of a request that crashes upstreams; about as long as it takes to forget it.
constexpr auto blockedRetryAfter = std::chrono::seconds(60);

/// Picks a service of \a route with a probability proportional to its weight; empty without
/// weights.
auto pickService(const HttpRoute &route, std::uint64_t randomNumber) -> PoolName
{
    const auto add = [](std::uint64_t sum, const RouteShare &share) { return sum + share.weight_; };
    const auto total
        = std::accumulate(route.shares_.begin(), route.shares_.end(), std::uint64_t{0}, add);
    if (total == 0)
        return {};
    auto remaining = randomNumber % total;
    for (const auto &share : route.shares_) {
        if (remaining < share.weight_)
            return share.service_;
        remaining -= share.weight_;
    }
    return {};
}

auto limitsOf(const RequestLimits &limits) -> HttpInputLimits
{
    return {.headBytes_ = limits.headBytes_,
            .bodyBytes_ = limits.bodyBytes_,
            .headTimeout_ = std::chrono::milliseconds(limits.headTimeoutMs_),
            .bodySilenceTimeout_ = std::chrono::milliseconds(limits.idleTimeoutMs_),
            .idleTimeout_ = std::chrono::milliseconds(limits.idleTimeoutMs_)};
}

} // namespace

ForwardService::ForwardService(ControlService &control, ForwardContext context, RandomSource random)
    : control_(control)
    , context_(std::move(context))
    , random_(std::move(random))
    , mutex_(LockRank::Requests)
    , heldRequests_(context_.clock_())
    , accountingMutex_(LockRank::Targets)
    , retryBudget_(context_.settings_.retries_)
{
    context_.isLeaving_ = [this] { return isLeaving_.load(); };
    context_.declarationAge_ = [this] { return declarationAge(); };
    context_.tryTakeRetry_ = [this](const PoolName &service) { return tryTakeRetry(service); };
}

ForwardService::~ForwardService() = default;

auto ForwardService::updateFromState() -> void
{
    auto index = std::shared_ptr<const RouteIndex>{};
    auto version = Version{0};
    auto inputLimits = HttpInputLimits{};
    control_.readState([&](const FleetState &state) {
        version = state.version_;
        if (state.hasTraffic_)
            isTrafficRecorded_ = true;
        if (version != 0 && version != indexVersion_) {
            index = std::make_shared<const RouteIndex>(state.declaration_);
            inputLimits = limitsOf(state.declaration_.requestLimits_.value_or(RequestLimits{}));
        }
        context_.targets_.update(state);
        context_.crashes_.update(state);
    });
    const auto entries = context_.targets_.entryCount();
    {
        const auto lock = std::scoped_lock(accountingMutex_);
        retryBudget_.setEntries(entries);
    }
    if (!index)
        return;
    const auto lock = std::scoped_lock(mutex_);
    if (version < indexVersion_)
        return;
    index_ = std::move(index);
    inputLimits_ = inputLimits;
    indexVersion_ = version;
    const auto accountingLock = std::scoped_lock(accountingMutex_);
    declarationVersion_ = version;
    declarationSince_ = context_.clock_();
}

auto ForwardService::inputLimits() const -> HttpInputLimits
{
    const auto lock = std::scoped_lock(mutex_);
    return inputLimits_;
}

auto ForwardService::declarationAge() const -> DeclarationAge
{
    const auto lock = std::scoped_lock(accountingMutex_);
    return {declarationVersion_, context_.clock_() - declarationSince_};
}

auto ForwardService::tick() -> void
{
    releaseHeldRequests();
    context_.crashes_.tick();
    for (const auto &target : context_.targets_.collectSuspects(context_.clock_()))
        context_.onGroupSuspected_(target.upstream_);
    for (const auto &target : context_.targets_.collectStalled(context_.clock_())) {
        context_.eventSink_(
            Event{EventNumber::GroupStalled,
                  {{"upstream", target.upstream_.text()}, {"reason", "no stream of it moved"}}});
        for (const auto &request : activeRequests())
            request->targetStalled(target);
    }
}

auto ForwardService::handle(HttpRequest request, std::shared_ptr<HttpReply> reply) -> void
{
    auto parsed = context_.codec_.parseRequest_(std::move(request));
    parsed.arrivedAt_ = parsed.http_.receivedAt_.value_or(context_.clock_());
    if (isLeaving_ && context_.clock_() > acceptsUntil_) {
        refuseStopping(parsed, reply);
        return;
    }
    if (const auto index = indexIfReady())
        forward(std::move(parsed), *index, reply);
    else if (!holdRequest(parsed, reply))
        refuseNotReady(parsed, reply);
}

auto ForwardService::indexIfReady() -> std::shared_ptr<const RouteIndex>
{
    auto index = std::shared_ptr<const RouteIndex>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        index = index_;
    }
    if (!index || !control_.mayTakeWork())
        return nullptr;
    hasServed_ = true;
    const auto lock = std::scoped_lock(mutex_);
    heldRequests_.recordServing(context_.clock_());
    return index;
}

auto ForwardService::holdRequest(ForwardRequest &request, const std::shared_ptr<HttpReply> &reply)
    -> bool
{
    auto isDisconnected = std::make_shared<std::atomic<bool>>(false);
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto until = heldRequests_.holdUntil(request.callerTimeout_, request.arrivedAt_);
        if (!until || isLeaving_)
            return false;
        heldRequests_.add(HeldRequest{std::move(request), reply, *until, isDisconnected});
    }
    reply->onClosed([isDisconnected] { *isDisconnected = true; });
    return true;
}

auto ForwardService::releaseHeldRequests() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        if (heldRequests_.empty())
            return;
    }
    const auto index = indexIfReady();
    auto released = std::vector<HeldRequest>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        released = index ? heldRequests_.takeAll() : heldRequests_.takeExpired(context_.clock_());
    }
    for (auto &held : released) {
        if (*held.isDisconnected_)
            continue;
        held.request_.wasHeld_ = true;
        if (index)
            forward(std::move(held.request_), *index, held.reply_);
        else
            refuseNotReady(held.request_, held.reply_);
    }
}

auto ForwardService::refuseNotReady(const ForwardRequest &request,
                                    const std::shared_ptr<HttpReply> &reply) -> void
{
    const auto hasDeclaration = [&] {
        const auto lock = std::scoped_lock(mutex_);
        return index_ != nullptr;
    }();
    refuse(request, unavailable,
           hasDeclaration ? "this entry has no live state lease" : "no declaration is known yet",
           reply);
}

auto ForwardService::refuseStopping(const ForwardRequest &request,
                                    const std::shared_ptr<HttpReply> &reply) -> void
{
    refuse(request, unavailable, "this entry is stopping; send to another entry", reply);
}

auto ForwardService::isTooLate(const ForwardRequest &request, const HttpRoute &route) const -> bool
{
    if (!isLeaving_)
        return false;
    // Requests that may not be repeated are accepted only with all of their time, since their
    // callers could not send them again after the end of this process.
    const auto mayBeCut
        = route.kind_ == RouteKind::Unsafe && deadlineOf(request, route) > requestsEndAt_;
    return mayBeCut || context_.clock_() > acceptsUntil_;
}

auto ForwardService::forward(ForwardRequest request, const RouteIndex &index,
                             const std::shared_ptr<HttpReply> &reply) -> void
{
    const auto *route = index.findRoute(request.host_, request.http_.target_);
    if (route == nullptr) {
        refuse(request, notFound, "no route matches " + request.host_ + request.http_.target_,
               reply);
        return;
    }
    const Workspace *workspace = nullptr;
    if (index.needsKeys() && !route->isPublic_) {
        workspace = index.findWorkspace(request.apiKey_);
        if (workspace == nullptr) {
            refuse(request, unauthorized, "the key belongs to no workspace", reply);
            return;
        }
    }
    if (isTooLate(request, *route)) {
        refuseStopping(request, reply);
        return;
    }
    recordFirstTraffic();
    if (context_.crashes_.isBlocked(request.fingerprints_)) {
        refuse(
            request, unavailable,
            "requests like this one, or with a part of its prompt, ended several upstreams; this "
            "one was not run; send it without that part",
            reply, blockedRetryAfter);
        return;
    }
    const auto service = pickService(*route, random_());
    const auto pool = index.findPool(service, request.model_);
    if (!pool) {
        refuse(request, unavailable, "no pool serves the model '" + request.model_ + "'", reply);
        return;
    }
    {
        const auto lock = std::scoped_lock(accountingMutex_);
        const auto now = context_.clock_();
        retryBudget_.recordRequest(service, now);
        const auto groupSeconds = index.estimateGroupSeconds(*pool, request.promptTokens_,
                                                             request.expectedOutputTokens_);
        if (groupSeconds > 0)
            demandMeter_.addWork(*pool, groupSeconds, now);
    }
    const auto workspaceName = workspace == nullptr ? WorkspaceName() : workspace->name_;
    const auto hasOwnPriority = workspace != nullptr && workspace->priority_;
    const auto priority = hasOwnPriority ? *workspace->priority_ : route->priority_;
    auto routed
        = RoutedRequest{std::move(request), *route, workspaceName, priority, service, *pool};
    auto forwarded = std::make_shared<ForwardedRequest>(
        context_, std::move(routed), reply,
        [this](const ForwardedRequest *done) { removeFinished(done); });
    {
        const auto lock = std::scoped_lock(mutex_);
        activeRequests_.emplace(forwarded.get(), forwarded);
    }
    forwarded->start();
}

auto ForwardService::recordFirstTraffic() -> void
{
    if (!isTrafficRecorded_.exchange(true))
        control_.propose(Command(NoteTraffic{}), nullptr);
}

auto ForwardService::refuse(const ForwardRequest &request, std::uint16_t status,
                            const std::string &reason, const std::shared_ptr<HttpReply> &reply,
                            std::optional<Duration> retryAfter) -> void
{
    context_.eventSink_(Event{EventNumber::RequestRefused,
                              {{"request", request.id_.text()},
                               {"status", std::to_string(status)},
                               {"verdict", "not-run"},
                               {"reason", reason}}});
    auto refusal = ForwardRefusal{status, reason, retryAfter};
    if (status == unavailable && !retryAfter)
        refusal.retryAfter_ = hasServed_ || isLeaving_ ? notReadyRetryAfter : startupRetryAfter;
    auto response = context_.codec_.writeRefusal_(refusal);
    if (isLeaving_)
        response.headers_.add("Connection", "close");
    reply->send(std::move(response));
}

auto ForwardService::removeFinished(const ForwardedRequest *request) -> void
{
    auto removed = std::shared_ptr<ForwardedRequest>{};
    const auto lock = std::scoped_lock(mutex_);
    const auto found = activeRequests_.find(request);
    if (found == activeRequests_.end())
        return;
    removed = std::move(found->second);
    activeRequests_.erase(found);
}

auto ForwardService::tryTakeRetry(const PoolName &service) -> bool
{
    const auto lock = std::scoped_lock(accountingMutex_);
    return retryBudget_.tryTake(service, context_.clock_());
}

auto ForwardService::demand() const -> std::vector<PoolDemand>
{
    const auto lock = std::scoped_lock(accountingMutex_);
    return demandMeter_.demand(context_.clock_());
}

auto ForwardService::beginShutdown(MonotonicTime requestsEndAt) -> void
{
    const auto &settings = context_.settings_;
    const auto now = context_.clock_();
    const auto share = std::chrono::duration_cast<Duration>((requestsEndAt - now)
                                                            * settings.shutdownAcceptShare_);
    acceptsUntil_ = now + std::min(settings.shutdownAcceptTime_, share);
    requestsEndAt_ = requestsEndAt;
    isLeaving_ = true;
}

auto ForwardService::activeRequests() const -> std::vector<std::shared_ptr<ForwardedRequest>>
{
    auto requests = std::vector<std::shared_ptr<ForwardedRequest>>{};
    const auto lock = std::scoped_lock(mutex_);
    for (const auto &[key, request] : activeRequests_)
        requests.push_back(request);
    return requests;
}

auto ForwardService::endRemainingRequests() -> void
{
    auto held = std::vector<HeldRequest>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        held = heldRequests_.takeAll();
    }
    for (const auto &request : held)
        refuseStopping(request.request_, request.reply_);
    for (const auto &request : activeRequests())
        request->post(forward_event::EntryStops{});
}

auto ForwardService::timeSinceProgress(const UpstreamId &upstream) const -> std::optional<Duration>
{
    return context_.targets_.timeSinceProgress(upstream, context_.clock_());
}

auto ForwardService::notifyOnNextProgress(const UpstreamId &upstream) -> void
{
    context_.targets_.notifyOnNextProgress(upstream, context_.clock_());
}

auto ForwardService::activeRequestCount() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return activeRequests_.size();
}

auto ForwardService::isReady() const -> bool
{
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!index_)
            return false;
    }
    return control_.mayTakeWork();
}

} // namespace lycheereach
