#include "serving/PermitBroker.h"

#include "control/ControlService.h"
#include "requests/SuspicionTable.h"
#include "serving/LoadReport.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto prefixBlocks = std::size_t{100'000};

} // namespace

PermitBroker::PermitBroker(EntryId self, ZoneName zone, ControlService &control,
                           PermitBrokerHooks hooks)
    : self_(std::move(self))
    , control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Routing)
    , chooser_(std::move(zone), hooks_.random_)
    , prefixes_(prefixBlocks)
{ }

auto PermitBroker::run(const Work &work) -> void
{
    for (const auto &item : work)
        item();
}

auto PermitBroker::notWanted() -> Failure
{
    return Failure{Error::Cancelled, "the request is no longer wanted"};
}

auto PermitBroker::stateChanged() -> void
{
    auto work = Work{};
    control_.read([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        chooser_.update(state);
        policy_ = state.declaration_.defaults_;
        for (auto &[pool, queue] : pools_)
            queue.queue_.setLimits(policy_.queueLimit_,
                                   std::chrono::milliseconds(policy_.queueTimeoutMs_));
    });
    {
        const auto lock = std::scoped_lock(mutex_);
        pump(work);
    }
    run(work);
}

auto PermitBroker::tick() -> void
{
    auto work = Work{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = hooks_.now_();
        giveUpTakes(now, work);
        endHoldOffs(now);
        for (auto &[pool, queue] : pools_)
            shed(queue.queue_.expire(now), work);
        pump(work);
    }
    run(work);
}

auto PermitBroker::request(PermitRequest request, PermitCallback done) -> void
{
    auto work = Work{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto item = request.item_;
        auto &queue = poolQueue(request.choice_.pool_);
        pending_[item.request_] = Pending{std::move(request), std::move(done)};
        shed(queue.queue_.push(item, hooks_.now_()), work);
        pump(work);
    }
    run(work);
}

auto PermitBroker::unreachable(const GroupId &group) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    heldOff_[group] = hooks_.now_() + std::chrono::milliseconds(policy_.silenceTimeoutMs_);
    chooser_.setHeldOff(group, true);
}

auto PermitBroker::endHoldOffs(MonotonicTime now) -> void
{
    std::erase_if(heldOff_, [&](const auto &item) {
        if (now < item.second)
            return false;
        chooser_.setHeldOff(item.first, false);
        return true;
    });
}

auto PermitBroker::cancel(const RequestId &request) -> void
{
    auto work = Work{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto isTaken = [&](const auto &take) { return take.second.request_ == request; };
        if (std::any_of(takes_.begin(), takes_.end(), isTaken)) {
            if (const auto found = pending_.find(request); found != pending_.end())
                found->second.abandoned_ = true;
            return;
        }
        for (auto &[pool, queue] : pools_) {
            queue.queue_.remove(request);
            std::erase(queue.stalled_, request);
        }
        fail(request, notWanted(), work);
    }
    run(work);
}

auto PermitBroker::poolQueue(const PoolName &pool) -> PoolQueue &
{
    const auto found = pools_.find(pool);
    if (found != pools_.end())
        return found->second;
    const auto timeout = std::chrono::milliseconds(policy_.queueTimeoutMs_);
    auto queue = PoolQueue{FairQueue(policy_.queueLimit_, timeout), {}};
    return pools_.emplace(pool, std::move(queue)).first->second;
}

auto PermitBroker::pump(Work &work) -> void
{
    for (auto &[pool, queue] : pools_)
        pumpPool(pool, queue, work);
}

auto PermitBroker::pumpPool(const PoolName &pool, PoolQueue &queue, Work &work) -> void
{
    const auto now = hooks_.now_();
    auto without = std::deque<RequestId>{};
    while (chooser_.choose(ChoiceRequest{.pool_ = pool}, prefixes_)) {
        const auto request = nextWaiting(queue, now);
        if (!request)
            break;
        if (!startTake(*request, work))
            without.push_back(*request);
    }
    queue.stalled_.insert(queue.stalled_.begin(), without.begin(), without.end());
}

auto PermitBroker::nextWaiting(PoolQueue &queue, MonotonicTime now) -> std::optional<RequestId>
{
    if (!queue.stalled_.empty()) {
        auto request = queue.stalled_.front();
        queue.stalled_.pop_front();
        return request;
    }
    const auto item = queue.queue_.pop(now);
    if (!item)
        return std::nullopt;
    return item->request_;
}

auto PermitBroker::choose(const PermitRequest &request) const -> std::optional<Choice>
{
    if (!request.suspect_.empty())
        return chooseAlone(request);
    if (auto choice = chooser_.choose(request.choice_, prefixes_))
        return choice;
    auto any = request.choice_;
    any.avoid_.clear();
    return chooser_.choose(any, prefixes_);
}

auto PermitBroker::chooseAlone(const PermitRequest &request) const -> std::optional<Choice>
{
    const auto &wanted = request.choice_;
    auto groups = std::vector<std::string>{};
    for (const auto &group : chooser_.targets(wanted.pool_)) {
        if (!wanted.avoid_.contains(group))
            groups.push_back(group.text());
    }
    if (groups.empty()) {
        for (const auto &group : chooser_.targets(wanted.pool_))
            groups.push_back(group.text());
    }
    return chooser_.chooseExactly(GroupId(suspectTarget(request.suspect_, groups)),
                                  wanted.priority_);
}

auto PermitBroker::waiting() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return pending_.size();
}

auto PermitBroker::shed(const std::vector<ShedItem> &items, Work &work) -> void
{
    for (const auto &item : items) {
        auto failure = Failure{.code_ = Error::Overloaded,
                               .message_ = "no group can take the request in time",
                               .retryAfter_ = item.retryAfter_};
        hooks_.event_(Event{EventNumber::RequestShed,
                            {{"request", item.item_.request_.text()},
                             {"workspace", item.item_.workspace_.text()}}});
        fail(item.item_.request_, std::move(failure), work);
    }
}

auto PermitBroker::fail(const RequestId &request, Failure failure, Work &work) -> void
{
    const auto found = pending_.find(request);
    if (found == pending_.end())
        return;
    work.emplace_back(
        [done = std::move(found->second.done_), failure = std::move(failure)] { done(failure); });
    pending_.erase(found);
}

} // namespace lycheereach
