#include "serving/PermitBroker.h"

#include "control/ControlService.h"
#include "serving/LoadReport.h"

#include <utility>

namespace lycheereach {

namespace {

/// A take without an answer is given up after this time.
constexpr auto takeTimeout = std::chrono::milliseconds(600);

auto noteFor(const BrokeredPermit &permit) -> PermitNote
{
    return PermitNote{.group_ = permit.permit_.group_,
                      .leaseNumber_ = permit.permit_.leaseNumber_,
                      .number_ = permit.permit_.number_,
                      .suspect_ = permit.suspect_};
}

} // namespace

auto PermitBroker::startTake(const RequestId &request, Work &work) -> bool
{
    const auto found = pending_.find(request);
    if (found == pending_.end())
        return true;
    const auto choice = choose(found->second.request_);
    if (!choice)
        return false;
    const auto number = ++lastTake_;
    takes_[number] = Take{request, *choice, hooks_.now_()};
    chooser_.taken(choice->group_);
    const auto attempt = AttemptId(request.text() + "/" + std::to_string(number));
    const auto message
        = PermitTake{number, choice->group_, attempt, found->second.request_.suspect_};
    const auto holder = choice->leaseholder_;
    work.emplace_back([this, message, holder] {
        if (holder == self_)
            onAnswer(hooks_.takeHere_(message));
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
            report(*message);
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
    auto work = Work{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = granted_.find(keyOf(permit));
        if (found == granted_.end() || found->second.isStarted_ || found->second.isRecalled_)
            return;
        auto &granted = found->second;
        granted.isRecalled_ = true;
        auto note = noteFor(BrokeredPermit{permit, granted.choice_, {}, granted.suspect_});
        note.outcome_ = PermitOutcome::NotStarted;
        sendNote(granted.choice_, std::move(note), work);
    }
    run(work);
}

auto PermitBroker::keyOf(const Permit &permit) -> PermitKey
{
    return {permit.group_, permit.leaseNumber_, permit.number_};
}

auto PermitBroker::report(const LoadReport &report) -> void
{
    auto work = Work{};
    {
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &load : report.loads_)
            chooser_.report(load);
        pump(work);
    }
    run(work);
}

auto PermitBroker::onAnswer(const PermitAnswer &answer) -> void
{
    auto work = Work{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = takes_.find(answer.number_);
        if (found == takes_.end())
            return;
        const auto take = std::move(found->second);
        takes_.erase(found);
        if (answer.permit_)
            grant(take, *answer.permit_, work);
        else
            putBack(take, work);
    }
    run(work);
}

auto PermitBroker::grant(const Take &take, const Permit &permit, Work &work) -> void
{
    const auto ttl = std::chrono::milliseconds(permit.ttlMs_);
    auto brokered = BrokeredPermit{permit, take.choice_, take.askedAt_ + ttl, {}, {}};
    const auto found = pending_.find(take.request_);
    if (found == pending_.end()) {
        auto note = noteFor(brokered);
        note.outcome_ = PermitOutcome::NotStarted;
        sendNote(take.choice_, std::move(note), work);
        return;
    }
    auto &pending = found->second;
    brokered.suspect_ = pending.request_.suspect_;
    granted_[keyOf(permit)] = Granted{take.choice_, brokered.suspect_};
    brokered.pool_ = pending.request_.choice_.pool_;
    prefixes_.routed(pending.request_.choice_.prefix_, take.choice_.group_);
    work.emplace_back([done = std::move(pending.done_), brokered] { done(brokered); });
    pending_.erase(found);
}

auto PermitBroker::putBack(const Take &take, Work &work) -> void
{
    const auto found = pending_.find(take.request_);
    if (found == pending_.end())
        return;
    if (found->second.abandoned_) {
        fail(take.request_, notWanted(), work);
        return;
    }
    const auto &pool = found->second.request_.choice_.pool_;
    poolQueue(pool).stalled_.push_back(take.request_);
}

auto PermitBroker::giveUpTakes(MonotonicTime now, Work &work) -> void
{
    for (auto item = takes_.begin(); item != takes_.end();) {
        if (now - item->second.askedAt_ < takeTimeout) {
            ++item;
            continue;
        }
        chooser_.ended(item->second.choice_.group_);
        putBack(item->second, work);
        item = takes_.erase(item);
    }
    for (auto &[pool, queue] : pools_) {
        auto expired = std::vector<RequestId>{};
        for (const auto &request : queue.stalled_) {
            const auto found = pending_.find(request);
            if (found == pending_.end() || found->second.request_.item_.deadline_ <= now)
                expired.push_back(request);
        }
        for (const auto &request : expired) {
            std::erase(queue.stalled_, request);
            fail(request,
                 Failure{.code_ = Error::Overloaded,
                         .message_ = "no group could take the request before its deadline",
                         .retryAfter_ = queue.queue_.retryAfter()},
                 work);
        }
    }
}

auto PermitBroker::start(const BrokeredPermit &permit) -> bool
{
    auto work = Work{};
    const auto isVoid = control_.read([&](const FleetState &state) {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = granted_.find(keyOf(permit.permit_));
        // The address is that of the epoch in which the group was chosen.
        if (found == granted_.end() || found->second.isRecalled_
            || permit.choice_.epoch_ != permit.permit_.epoch_ || !isInForce(state, permit.permit_))
            return true;
        found->second.isStarted_ = true;
        sendNote(permit.choice_, noteFor(permit), work);
        return false;
    });
    run(work);
    return !isVoid;
}

auto PermitBroker::ended(const BrokeredPermit &permit, PermitOutcome outcome, Duration latency,
                         Duration runTime) -> void
{
    auto work = Work{};
    {
        const auto lock = std::scoped_lock(mutex_);
        chooser_.ended(permit.choice_.group_);
        const auto granted = granted_.extract(keyOf(permit.permit_));
        if (granted && granted.mapped().isRecalled_)
            outcome = PermitOutcome::NotStarted;
        if (outcome == PermitOutcome::Completed)
            poolQueue(permit.pool_).queue_.noteRunTime(runTime);
        auto note = noteFor(permit);
        note.outcome_ = outcome;
        note.latencyMs_ = toMilliseconds(latency);
        sendNote(permit.choice_, std::move(note), work);
        pump(work);
    }
    run(work);
}

auto PermitBroker::sendNote(const Choice &choice, PermitNote note, Work &work) -> void
{
    work.emplace_back([this, holder = choice.leaseholder_, note = std::move(note)] {
        if (holder == self_)
            hooks_.noteHere_(note);
        else
            hooks_.send_(holder, "permit.note", encode(note));
    });
}

} // namespace lycheereach
