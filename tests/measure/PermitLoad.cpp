#include "measure/PermitLoad.h"

#include <string>

namespace lycheereach {

using std::chrono::milliseconds;
using std::chrono::seconds;

PermitLoad::PermitLoad(std::uint64_t seed)
    : random_(seed)
    , table_(EntryId("e0"))
{
    for (auto number = std::size_t{0}; number < coldEntries; ++number)
        state_.entries_[entry(number)] = EntryRecord{.incarnation_ = 1};
    state_.declaration_.defaults_.coldLimit_ = coldCapacity;
    state_.declaration_.defaults_.rampCompletions_ = 1'000'000;
    for (auto number = std::size_t{0}; number < coldTargets; ++number)
        addTarget(number);
    table_.update(state_, queue_.now());
    for (auto number = std::size_t{0}; number < coldTargets; ++number)
        table_.setServing(group(number), true);
    tick();
    arrive();
}

auto PermitLoad::run() -> std::pair<double, double>
{
    queue_.runUntil(queue_.now() + seconds(60));
    return {carried_ / 60, excess_ / 60};
}

auto PermitLoad::entry(std::size_t number) -> EntryId
{
    return EntryId("e" + std::to_string(number));
}
auto PermitLoad::group(std::size_t number) -> GroupId
{
    return GroupId("g" + std::to_string(number));
}

auto PermitLoad::addTarget(std::size_t number) -> void
{
    const auto member = UpstreamId("u" + std::to_string(number));
    auto announced = Announcement{.upstream_ = member};
    announced.cold_ = true;
    announced.carries_ = coldCapacity;
    state_.upstreams_[member].announced_ = announced;
    state_.groups_[group(number)] = Group{.id_ = group(number),
                                          .epoch_ = 1,
                                          .members_ = {member},
                                          .phase_ = GroupPhase::Serving,
                                          .leaseholder_ = EntryId("e0"),
                                          .leaseNumber_ = 1};
    state_.groupOf_[member] = group(number);
}

auto PermitLoad::delay() -> Duration
{
    return std::chrono::microseconds(500 + random_() % 2500);
}

auto PermitLoad::tick() -> void
{
    table_.dropExpiredPermits(queue_.now());
    reported_ = running_;
    queue_.scheduleAfter(milliseconds(100), [this] { tick(); });
}

auto PermitLoad::arrive() -> void
{
    queue_.scheduleAfter(milliseconds(1), [this] { arrive(); });
    const auto one = random_() % coldTargets;
    const auto other = random_() % coldTargets;
    const auto target = reported_[one] <= reported_[other] ? one : other;
    const auto taker = entry(random_() % coldEntries);
    const auto attempt = AttemptId("a" + std::to_string(++attempts_));
    queue_.scheduleAfter(delay(), [this, target, taker, attempt] {
        const auto answer = table_.grantPermit(group(target), taker, attempt, queue_.now());
        if (const auto *permit = std::get_if<Permit>(&answer))
            queue_.scheduleAfter(delay(),
                                 [this, target, permit = *permit] { start(target, permit); });
    });
}

auto PermitLoad::start(std::size_t target, const Permit &permit) -> void
{
    const auto over = ++running_[target] > coldCapacity;
    (over ? excess_ : carried_) += 1;
    const auto note = delay();
    queue_.scheduleAfter(note, [this, permit] {
        table_.requestStarted(permit.group_, permit.leaseNumber_, permit.number_, queue_.now());
    });
    const auto service = milliseconds(200 + random_() % 400);
    queue_.scheduleAfter(service, [this, target] { --running_[target]; });
    queue_.scheduleAfter(service + note + delay(), [this, permit] {
        table_.requestEnded(permit.group_, permit.leaseNumber_, permit.number_,
                            PermitOutcome::Completed, milliseconds(1), queue_.now());
    });
}

} // namespace lycheereach
