#include "serving/PermitBroker.h"

#include "control/ControlService.h"
#include "requests/SuspicionTable.h"
#include "serving/LoadReport.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

/// Capacity of the prefix index, in blocks.
constexpr auto maxPrefixBlocks = std::size_t{100'000};

} // namespace

PermitBroker::PermitBroker(EntryId self, ZoneName zone, ControlService &control,
                           PermitBrokerHooks hooks)
    : self_(std::move(self))
    , control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Routing)
    , chooser_(std::move(zone), hooks_.random_)
    , prefixes_(maxPrefixBlocks)
{ }

auto PermitBroker::runDeferred(const DeferredCalls &deferred) -> void
{
    for (const auto &item : deferred)
        item();
}

auto PermitBroker::cancelledFailure() -> Failure
{
    return Failure{Error::Cancelled, "the request is no longer wanted"};
}

auto PermitBroker::stateChanged() -> void
{
    auto deferred = DeferredCalls{};
    control_.readState([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        chooser_.update(state);
        policy_ = state.declaration_.defaults_;
        for (auto &[pool, queue] : poolQueues_)
            queue.queue_.setLimits(policy_.queueLimit_,
                                   std::chrono::milliseconds(policy_.queueTimeoutMs_));
    });
    {
        const auto lock = std::scoped_lock(mutex_);
        dispatch(deferred);
    }
    runDeferred(deferred);
}

auto PermitBroker::tick() -> void
{
    auto deferred = DeferredCalls{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = hooks_.now_();
        expireTakes(now, deferred);
        endEjections(now);
        for (auto &[pool, queue] : poolQueues_)
            failShedRequests(queue.queue_.removeExpired(now), deferred);
        dispatch(deferred);
    }
    runDeferred(deferred);
}

auto PermitBroker::request(PermitRequest request, PermitCallback done) -> void
{
    auto deferred = DeferredCalls{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto item = request.queueItem_;
        auto &queue = poolQueue(request.choiceRequest_.pool_);
        pendingRequests_[item.request_] = PendingRequest{std::move(request), std::move(done)};
        failShedRequests(queue.queue_.push(item, hooks_.now_()), deferred);
        dispatch(deferred);
    }
    runDeferred(deferred);
}

auto PermitBroker::ejectGroup(const GroupId &group) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ejectedUntil_[group] = hooks_.now_() + std::chrono::milliseconds(policy_.silenceTimeoutMs_);
    chooser_.setEjected(group, true);
}

auto PermitBroker::endEjections(MonotonicTime now) -> void
{
    std::erase_if(ejectedUntil_, [&](const auto &item) {
        if (now < item.second)
            return false;
        chooser_.setEjected(item.first, false);
        return true;
    });
}

auto PermitBroker::cancel(const RequestId &request) -> void
{
    auto deferred = DeferredCalls{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto hasPendingTake
            = [&](const auto &take) { return take.second.request_ == request; };
        if (std::any_of(pendingTakes_.begin(), pendingTakes_.end(), hasPendingTake)) {
            if (const auto found = pendingRequests_.find(request); found != pendingRequests_.end())
                found->second.isCancelled_ = true;
            return;
        }
        for (auto &[pool, queue] : poolQueues_) {
            queue.queue_.remove(request);
            std::erase(queue.requeued_, request);
        }
        failRequest(request, cancelledFailure(), deferred);
    }
    runDeferred(deferred);
}

auto PermitBroker::poolQueue(const PoolName &pool) -> PoolQueue &
{
    const auto found = poolQueues_.find(pool);
    if (found != poolQueues_.end())
        return found->second;
    const auto timeout = std::chrono::milliseconds(policy_.queueTimeoutMs_);
    auto queue = PoolQueue{FairQueue(policy_.queueLimit_, timeout), {}};
    return poolQueues_.emplace(pool, std::move(queue)).first->second;
}

auto PermitBroker::dispatch(DeferredCalls &deferred) -> void
{
    for (auto &[pool, queue] : poolQueues_)
        dispatchPool(pool, queue, deferred);
}

auto PermitBroker::dispatchPool(const PoolName &pool, PoolQueue &queue, DeferredCalls &deferred)
    -> void
{
    const auto now = hooks_.now_();
    auto unplaced = std::deque<RequestId>{};
    while (chooser_.choose(GroupChoiceRequest{.pool_ = pool}, prefixes_)) {
        const auto request = nextRequest(queue, now);
        if (!request)
            break;
        if (!sendTake(*request, deferred))
            unplaced.push_back(*request);
    }
    queue.requeued_.insert(queue.requeued_.begin(), unplaced.begin(), unplaced.end());
}

auto PermitBroker::nextRequest(PoolQueue &queue, MonotonicTime now) -> std::optional<RequestId>
{
    if (!queue.requeued_.empty()) {
        auto request = queue.requeued_.front();
        queue.requeued_.pop_front();
        return request;
    }
    const auto item = queue.queue_.pop(now);
    if (!item)
        return std::nullopt;
    return item->request_;
}

auto PermitBroker::choose(const PermitRequest &request) const -> std::optional<GroupChoice>
{
    if (!request.suspectFingerprint_.empty())
        return chooseForSuspect(request);
    if (auto choice = chooser_.choose(request.choiceRequest_, prefixes_))
        return choice;
    auto unrestricted = request.choiceRequest_;
    unrestricted.excludedGroups_.clear();
    return chooser_.choose(unrestricted, prefixes_);
}

auto PermitBroker::chooseForSuspect(const PermitRequest &request) const
    -> std::optional<GroupChoice>
{
    const auto &wanted = request.choiceRequest_;
    auto groups = std::vector<std::string>{};
    for (const auto &group : chooser_.routableGroups(wanted.pool_)) {
        if (!wanted.excludedGroups_.contains(group))
            groups.push_back(group.text());
    }
    if (groups.empty()) {
        for (const auto &group : chooser_.routableGroups(wanted.pool_))
            groups.push_back(group.text());
    }
    return chooser_.chooseGroup(GroupId(targetForSuspect(request.suspectFingerprint_, groups)),
                                wanted.priority_);
}

auto PermitBroker::waitingRequests() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return pendingRequests_.size();
}

auto PermitBroker::failShedRequests(const std::vector<ShedItem> &items, DeferredCalls &deferred)
    -> void
{
    for (const auto &item : items) {
        auto failure = Failure{.code_ = Error::Overloaded,
                               .message_ = "no group can take the request in time",
                               .retryAfter_ = item.retryAfter_};
        hooks_.event_(Event{EventNumber::RequestShed,
                            {{"request", item.item_.request_.text()},
                             {"workspace", item.item_.workspace_.text()}}});
        failRequest(item.item_.request_, std::move(failure), deferred);
    }
}

auto PermitBroker::failRequest(const RequestId &request, Failure failure, DeferredCalls &deferred)
    -> void
{
    const auto found = pendingRequests_.find(request);
    if (found == pendingRequests_.end())
        return;
    deferred.emplace_back(
        [done = std::move(found->second.done_), failure = std::move(failure)] { done(failure); });
    pendingRequests_.erase(found);
}

} // namespace lycheereach
