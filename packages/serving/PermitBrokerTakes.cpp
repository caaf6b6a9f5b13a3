#include "serving/PermitBroker.h"

#include "control/ControlService.h"
#include "serving/LoadReport.h"

#include <utility>

namespace lycheereach {

namespace {

/// A permit.take message without an answer counts as lost after this time.
constexpr auto takeTimeout = std::chrono::milliseconds(600);

auto noteFor(const BrokeredPermit &permit) -> PermitNote
{
    return PermitNote{.group_ = permit.permit_.group_,
                      .leaseNumber_ = permit.permit_.leaseNumber_,
                      .number_ = permit.permit_.number_,
                      .suspectFingerprint_ = permit.suspectFingerprint_};
}

} // namespace

auto PermitBroker::sendTake(const RequestId &request, DeferredCalls &deferred) -> bool
{
    const auto found = pendingRequests_.find(request);
    if (found == pendingRequests_.end())
        return true;
    const auto choice = choose(found->second.request_);
    if (!choice)
        return false;
    const auto number = ++lastTakeNumber_;
    pendingTakes_[number] = PendingTake{request, *choice, hooks_.now_()};
    chooser_.permitRequested(choice->group_);
    const auto attempt = AttemptId(request.text() + "/" + std::to_string(number));
    const auto message
        = PermitTake{number, choice->group_, attempt, found->second.request_.suspectFingerprint_};
    const auto holder = choice->leaseholder_;
    deferred.emplace_back([this, message, holder] {
        if (holder == self_)
            onAnswer(hooks_.takeLocal_(message));
        else
            hooks_.send_(holder, "permit.take", encode(message));
    });
    return true;
}

auto PermitBroker::receive(const EntryId &from, const std::string &method, const Json &params)
    -> bool
{
    if (method == "permit.answer") {
        if (const auto message = decode<PermitAnswer>(params))
            onAnswer(*message);
        return true;
    }
    if (method == "permit.loads") {
        if (const auto message = decode<LoadReport>(params))
            updateLoads(*message);
        return true;
    }
    if (method == "permit.recall") {
        if (const auto permit = decode<Permit>(params))
            onRecall(*permit);
        return true;
    }
    static_cast<void>(from);
    return false;
}

auto PermitBroker::onRecall(const Permit &permit) -> void
{
    auto deferred = DeferredCalls{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = grantedPermits_.find(keyOf(permit));
        if (found == grantedPermits_.end() || found->second.isStarted_ || found->second.isRecalled_)
            return;
        auto &granted = found->second;
        granted.isRecalled_ = true;
        auto note
            = noteFor(BrokeredPermit{permit, granted.choice_, {}, granted.suspectFingerprint_});
        note.outcome_ = PermitOutcome::NotStarted;
        sendNote(granted.choice_, std::move(note), deferred);
    }
    runDeferred(deferred);
}

auto PermitBroker::keyOf(const Permit &permit) -> PermitKey
{
    return {permit.group_, permit.leaseNumber_, permit.number_};
}

auto PermitBroker::updateLoads(const LoadReport &report) -> void
{
    auto deferred = DeferredCalls{};
    {
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &load : report.loads_)
            chooser_.updateLoad(load);
        dispatch(deferred);
    }
    runDeferred(deferred);
}

auto PermitBroker::onAnswer(const PermitAnswer &answer) -> void
{
    auto deferred = DeferredCalls{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = pendingTakes_.find(answer.number_);
        if (found == pendingTakes_.end())
            return;
        const auto take = std::move(found->second);
        pendingTakes_.erase(found);
        if (answer.permit_)
            deliverPermit(take, *answer.permit_, deferred);
        else
            requeue(take, deferred);
    }
    runDeferred(deferred);
}

auto PermitBroker::deliverPermit(const PendingTake &take, const Permit &permit,
                                 DeferredCalls &deferred) -> void
{
    const auto ttl = std::chrono::milliseconds(permit.ttlMs_);
    auto brokered = BrokeredPermit{permit, take.choice_, take.askedAt_ + ttl, {}, {}};
    const auto found = pendingRequests_.find(take.request_);
    if (found == pendingRequests_.end()) {
        auto note = noteFor(brokered);
        note.outcome_ = PermitOutcome::NotStarted;
        sendNote(take.choice_, std::move(note), deferred);
        return;
    }
    auto &pending = found->second;
    brokered.suspectFingerprint_ = pending.request_.suspectFingerprint_;
    grantedPermits_[keyOf(permit)] = GrantedPermit{take.choice_, brokered.suspectFingerprint_};
    brokered.pool_ = pending.request_.choiceRequest_.pool_;
    prefixes_.recordRequest(pending.request_.choiceRequest_.prefix_, take.choice_.group_);
    deferred.emplace_back([done = std::move(pending.done_), brokered] { done(brokered); });
    pendingRequests_.erase(found);
}

auto PermitBroker::requeue(const PendingTake &take, DeferredCalls &deferred) -> void
{
    const auto found = pendingRequests_.find(take.request_);
    if (found == pendingRequests_.end())
        return;
    if (found->second.isCancelled_) {
        failRequest(take.request_, cancelledFailure(), deferred);
        return;
    }
    const auto &pool = found->second.request_.choiceRequest_.pool_;
    poolQueue(pool).requeued_.push_back(take.request_);
}

auto PermitBroker::expireTakes(MonotonicTime now, DeferredCalls &deferred) -> void
{
    for (auto item = pendingTakes_.begin(); item != pendingTakes_.end();) {
        if (now - item->second.askedAt_ < takeTimeout) {
            ++item;
            continue;
        }
        chooser_.permitEnded(item->second.choice_.group_);
        requeue(item->second, deferred);
        item = pendingTakes_.erase(item);
    }
    for (auto &[pool, queue] : poolQueues_) {
        auto expired = std::vector<RequestId>{};
        for (const auto &request : queue.requeued_) {
            const auto found = pendingRequests_.find(request);
            if (found == pendingRequests_.end()
                || found->second.request_.queueItem_.deadline_ <= now)
                expired.push_back(request);
        }
        for (const auto &request : expired) {
            std::erase(queue.requeued_, request);
            failRequest(request,
                        Failure{.code_ = Error::Overloaded,
                                .message_ = "no group could take the request before its deadline",
                                .retryAfter_ = queue.queue_.retryAfter()},
                        deferred);
        }
    }
}

auto PermitBroker::tryStart(const BrokeredPermit &permit) -> bool
{
    auto deferred = DeferredCalls{};
    const auto isVoid = control_.readState([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = grantedPermits_.find(keyOf(permit.permit_));
        // The address in choice_ is only valid in the epoch in which the group was chosen.
        if (found == grantedPermits_.end() || found->second.isRecalled_
            || permit.choice_.epoch_ != permit.permit_.epoch_
            || !isStillValid(state, permit.permit_))
            return true;
        found->second.isStarted_ = true;
        sendNote(permit.choice_, noteFor(permit), deferred);
        return false;
    });
    runDeferred(deferred);
    return !isVoid;
}

auto PermitBroker::endPermit(const BrokeredPermit &permit, PermitOutcome outcome, Duration latency,
                             Duration runTime) -> void
{
    auto deferred = DeferredCalls{};
    {
        const auto lock = std::scoped_lock(mutex_);
        chooser_.permitEnded(permit.choice_.group_);
        const auto granted = grantedPermits_.extract(keyOf(permit.permit_));
        if (granted && granted.mapped().isRecalled_)
            outcome = PermitOutcome::NotStarted;
        if (outcome == PermitOutcome::Completed)
            poolQueue(permit.pool_).queue_.recordRunTime(runTime);
        auto note = noteFor(permit);
        note.outcome_ = outcome;
        note.latencyMs_ = toMilliseconds(latency);
        sendNote(permit.choice_, std::move(note), deferred);
        dispatch(deferred);
    }
    runDeferred(deferred);
}

auto PermitBroker::sendNote(const GroupChoice &choice, PermitNote note, DeferredCalls &deferred)
    -> void
{
    deferred.emplace_back([this, holder = choice.leaseholder_, note = std::move(note)] {
        if (holder == self_)
            hooks_.noteLocal_(note);
        else
            hooks_.send_(holder, "permit.note", encode(note));
    });
}

} // namespace lycheereach
