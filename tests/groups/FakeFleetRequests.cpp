// The callers' requests of FakeFleet.
#include "groups/FakeFleet.h"

#include <algorithm>

namespace lycheereach {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The time in which new work must stop after a zone was taken out or a member began to drain.
constexpr auto workEndTimeout = seconds(5);

} // namespace

auto FakeFleet::arrivalTick() -> void
{
    const auto number = random(entries_.size());
    const auto gap = static_cast<double>(random(2000)) / 1000.0 / plan_.requestRate_;
    queue_.scheduleAfter(std::chrono::microseconds(static_cast<std::int64_t>(gap * 1e6)),
                         [this] { arrivalTick(); });
    if (!isRunning(entries_[number]))
        return;
    entries_[number].waiting_.push_back({RequestId("q" + std::to_string(++requests_)), now()});
    dispatchWaiting(number);
}

auto FakeFleet::dispatchWaiting(std::size_t number) -> void
{
    auto &entry = entries_[number];
    while (!entry.waiting_.empty()
           && now() - entry.waiting_.front().arrivedAt_ > plan_.requestTimeout_) {
        startOutcomes_.push_back({entry.waiting_.front().arrivedAt_, std::nullopt});
        entry.waiting_.pop_front();
    }
    static const auto noPrefixes = PrefixIndex(1);
    while (!entry.waiting_.empty() && holdsLease(entry)) {
        const auto choice = entry.chooser_.choose({PoolName("llm"), {}, 5, {}}, noPrefixes);
        if (!choice)
            return;
        entry.chooser_.permitRequested(choice->group_);
        const auto id = AttemptId("a" + std::to_string(++attempts_));
        const auto attempt = Attempt{id, number, entry.waiting_.front(), *choice, now()};
        entry.waiting_.pop_front();
        queue_.scheduleAfter(delay(), [this, attempt] { requestPermit(attempt); });
    }
}

auto FakeFleet::requestPermit(const Attempt &attempt) -> void
{
    auto &holder = entryOf(attempt.choice_.leaseholder_);
    const auto &taker = entries_[attempt.entry_];
    if (!holdsLease(holder)) {
        queue_.scheduleAfter(seconds(1), [this, attempt] { onPermitRefused(attempt); });
        return;
    }
    const auto answer
        = holder.permits_.grantPermit(attempt.choice_.group_, taker.id_, attempt.id_, now());
    queue_.scheduleAfter(delay(), [this, attempt, answer] {
        if (const auto *permit = std::get_if<Permit>(&answer))
            onPermitGranted(attempt, *permit);
        else
            onPermitRefused(attempt);
    });
}

auto FakeFleet::onPermitRefused(const Attempt &attempt) -> void
{
    auto &entry = entries_[attempt.entry_];
    entry.waiting_.push_front(attempt.request_);
    queue_.scheduleAfter(milliseconds(50), [this, attempt] {
        entries_[attempt.entry_].chooser_.permitEnded(attempt.choice_.group_);
        dispatchWaiting(attempt.entry_);
    });
}

auto FakeFleet::onPermitGranted(const Attempt &attempt, const Permit &permit) -> void
{
    auto &entry = entries_[attempt.entry_];
    const auto *seen = holdsLease(entry) ? entry.state_.get() : nullptr;
    const auto group = seen == nullptr ? std::map<GroupId, Group>::const_iterator{}
                                       : seen->groups_.find(permit.group_);
    const auto isValid = seen != nullptr && group != seen->groups_.end()
        && group->second.leaseNumber_ == permit.leaseNumber_ && !group->second.leaseholder_.empty()
        && group->second.epoch_ == permit.epoch_
        && now() - attempt.askedAt_ < milliseconds(permit.ttlMs_);
    if (!isValid) {
        onPermitRefused(attempt);
        return;
    }
    const auto engine = engineOf(attempt.choice_.upstream_);
    const auto isPaused = now() < pausedUntil_[engine];
    if (isPaused || !engines_[engine].startRequest(permit.group_, permit.epoch_, now())) {
        onAttemptEnded(attempt, permit, PermitOutcome::NotStarted);
        onPermitRefused(attempt);
        return;
    }
    checkStart(attempt, permit, engine);
    const auto incarnation = engines_[engine].announced().incarnation_;
    auto &holder = entryOf(attempt.choice_.leaseholder_);
    queue_.scheduleAfter(delay(), [this, &holder, permit] {
        if (isRunning(holder))
            holder.permits_.requestStarted(permit.group_, permit.leaseNumber_, permit.number_,
                                           now());
    });
    startOutcomes_.push_back({attempt.request_.arrivedAt_, now() - attempt.request_.arrivedAt_});
    const auto service = plan_.serviceTime_ / 2
        + milliseconds(random(static_cast<std::uint64_t>(
            std::max<std::int64_t>(1, toMilliseconds(plan_.serviceTime_)))));
    queue_.scheduleAfter(service, [this, attempt, permit, engine, incarnation] {
        engines_[engine].finishRequest(incarnation, true);
        onAttemptEnded(attempt, permit, PermitOutcome::Completed);
    });
}

auto FakeFleet::onAttemptEnded(const Attempt &attempt, const Permit &permit, PermitOutcome outcome)
    -> void
{
    auto &entry = entries_[attempt.entry_];
    entry.chooser_.permitEnded(permit.group_);
    auto &holder = entryOf(attempt.choice_.leaseholder_);
    queue_.scheduleAfter(delay() + milliseconds(3), [this, &holder, &entry, permit, outcome] {
        if (isRunning(holder) && isRunning(entry))
            holder.permits_.requestEnded(permit.group_, permit.leaseNumber_, permit.number_,
                                         outcome, plan_.serviceTime_, now());
    });
}

auto FakeFleet::checkStart(const Attempt &attempt, const Permit &permit, std::size_t engine) -> void
{
    const auto &announced = engines_[engine].announced();
    ++startedIn_[announced.zone_.text()];
    if (announced.running_ > engines_[engine].capacity())
        recordViolation(announced.upstream_.text() + " exceeds its capacity: it runs "
                        + std::to_string(announced.running_));
    const auto out = zoneOutAt_.find(announced.zone_.text());
    if (out != zoneOutAt_.end() && now() - out->second > workEndTimeout)
        recordViolation("new work in the zone taken out: " + announced.zone_.text());
    const auto group = state().groups_.find(attempt.choice_.group_);
    if (group == state().groups_.end() || group->second.epoch_ != permit.epoch_)
        return;
    // The loss of a member may go undetected for the silence timeout, and permits granted until
    // then stay valid for their lifetime.
    const auto detectionTime
        = milliseconds(plan_.policy_.silenceTimeoutMs_ + plan_.policy_.permitTtlMs_ + 1000);
    for (const auto &member : group->second.members_) {
        const auto notReady
            = engines_[engineOf(member)].notReadySince(permit.group_, permit.epoch_);
        if (notReady && now() - *notReady > detectionTime)
            recordViolation(permit.group_.text() + " serves without " + member.text());
        const auto drained = drainingSince_.find(member);
        if (drained != drainingSince_.end() && now() - drained->second > workEndTimeout)
            recordViolation("new work at the draining member " + member.text());
    }
}

} // namespace lycheereach
