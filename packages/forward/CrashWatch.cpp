#include "forward/CrashWatch.h"

#include "requests/BlockExpiry.h"
#include "requests/CrashMessages.h"
#include "requests/CrashReport.h"
#include "requests/RequestFingerprint.h"
#include "state/FleetState.h"
#include "transport/WorkerPool.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// All connections to a process that ends break within this time.
constexpr auto collectionTime = std::chrono::milliseconds(25);
/// A probe without a result after this time shows no crash.
constexpr auto probeTimeLimit = std::chrono::seconds(2);
/// Connections may break, and be reported, for this long after the first.
constexpr auto caseLifetime = std::chrono::seconds(5);
/// As the suspicion itself lasts on the control processes.
constexpr auto suspicionLifetime = std::chrono::minutes(10);
constexpr auto maxCases = std::size_t{256};
constexpr auto maxSuspects = std::size_t{4096};

} // namespace

CrashWatch::CrashWatch(CrashWatchHooks hooks)
    : hooks_(std::move(hooks))
    , mutex_(LockRank::Targets)
{ }

auto CrashWatch::update(const FleetState &state) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    std::erase_if(blocked_, [&](const auto &item) { return !state.blocked_.contains(item.first); });
    for (const auto &[fingerprint, since] : state.blocked_)
        blocked_.emplace(fingerprint, MonotonicTime{});
}

auto CrashWatch::isBlocked(const std::vector<std::string> &fingerprints) -> bool
{
    const auto now = hooks_.now_();
    const auto lock = std::scoped_lock(mutex_);
    if (blocked_.empty())
        return false;
    auto isAnyBlocked = false;
    for (const auto &fingerprint : fingerprints) {
        const auto found = blocked_.find(fingerprint);
        if (found == blocked_.end())
            continue;
        isAnyBlocked = true;
        if (now - found->second < BlockExpiry::refusalReportInterval)
            continue;
        found->second = now;
        refused_.insert(fingerprint);
    }
    return isAnyBlocked;
}

auto CrashWatch::findSuspect(const std::vector<std::string> &fingerprints) const -> std::string
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found
        = std::find_if(fingerprints.begin(), fingerprints.end(),
                       [&](const auto &fingerprint) { return suspects_.contains(fingerprint); });
    return found == fingerprints.end() ? std::string{} : *found;
}

auto CrashWatch::arePartsProven(const std::vector<std::string> &fingerprints) const -> bool
{
    const auto now = hooks_.now_();
    const auto lock = std::scoped_lock(mutex_);
    return std::all_of(fingerprints.begin(), fingerprints.end(), [&](const auto &fingerprint) {
        return !isPartFingerprint(fingerprint) || proven_.contains(fingerprint, now);
    });
}

auto CrashWatch::recordServed(const std::vector<std::string> &fingerprints) -> void
{
    const auto now = hooks_.now_();
    const auto lock = std::scoped_lock(mutex_);
    for (const auto &fingerprint : fingerprints) {
        // A whole request is told by its digest, which hardly ever comes again.
        if (isPartFingerprint(fingerprint))
            proven_.prove(fingerprint, now);
        if (suspects_.erase(fingerprint) != 0)
            cleared_.insert(fingerprint);
    }
}

auto CrashWatch::recordUndelimited(const ForwardTarget &target,
                                   const std::vector<std::string> &fingerprints) -> void
{
    if (!arePartsProven(fingerprints) || !findSuspect(fingerprints).empty())
        collect(target, fingerprints, fingerprints);
}

auto CrashWatch::recordBroken(const ForwardTarget &target,
                              const std::vector<std::string> &fingerprints) -> void
{
    collect(target, fingerprints, {});
}

auto CrashWatch::collect(const ForwardTarget &target, const std::vector<std::string> &fingerprints,
                         const std::vector<std::string> &answered) -> void
{
    const auto crashed = CrashedTarget{target.upstream_, target.incarnation_};
    const auto now = hooks_.now_();
    {
        const auto lock = std::scoped_lock(mutex_);
        if (!cases_.contains(crashed) && cases_.size() >= maxCases)
            return;
        const auto [found, isNew]
            = cases_.emplace(crashed, Case{target, now, std::nullopt, {}, {}, {}, nullptr});
        auto &inFlight = found->second.fingerprints_;
        for (const auto &fingerprint : fingerprints) {
            if (inFlight.size() < crash_message::maxFingerprints
                && !proven_.contains(fingerprint, now))
                inFlight.insert(fingerprint);
        }
        auto &ended = isNew ? found->second.answered_ : found->second.answeredSince_;
        if (ended.size() < crash_message::maxFingerprints)
            ended.insert(answered.begin(), answered.end());
        if (!isNew)
            return;
    }
    auto timer = hooks_.after_(collectionTime, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->report();
    });
    {
        const auto lock = std::scoped_lock(mutex_);
        if (const auto found = cases_.find(crashed); found != cases_.end())
            found->second.collectionTimer_ = std::move(timer);
    }
    hooks_.probe_(target, [weak = weak_from_this(), crashed](std::optional<bool> hasEnded) {
        if (const auto self = weak.lock())
            self->recordProbe(crashed, hasEnded);
    });
}

auto CrashWatch::recordProbe(const CrashedTarget &crashed, std::optional<bool> hasEnded) -> void
{
    auto probed = std::optional<Case>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = cases_.find(crashed);
        if (found == cases_.end())
            return;
        found->second.hasEnded_ = hasEnded.value_or(false);
        probed = found->second;
        probed->collectionTimer_.reset();
    }
    report();
    if (hasEnded.value_or(false))
        return;
    if (hasEnded)
        recordServed({probed->answered_.begin(), probed->answered_.end()});
    if (!probed->answeredSince_.empty()) {
        recordUndelimited(probed->target_,
                          {probed->answeredSince_.begin(), probed->answeredSince_.end()});
    }
}

auto CrashWatch::takeDueCases(MonotonicTime now) -> std::vector<Case>
{
    auto due = std::vector<Case>{};
    const auto lock = std::scoped_lock(mutex_);
    for (auto &[crashed, open] : cases_) {
        const auto isDue = open.hasEnded_.value_or(false) && !open.fingerprints_.empty()
            && now - open.since_ >= collectionTime;
        if (!isDue)
            continue;
        due.push_back(open);
        open.fingerprints_.clear();
        due.back().collectionTimer_.reset();
    }
    std::erase_if(cases_, [&](const auto &item) {
        const auto age = now - item.second.since_;
        const auto isNoCrash
            = item.second.hasEnded_ ? !*item.second.hasEnded_ : age >= probeTimeLimit;
        return isNoCrash || age >= caseLifetime;
    });
    return due;
}

auto CrashWatch::report() -> void
{
    for (const auto &crash : takeDueCases(hooks_.now_())) {
        const auto isLeaving = hooks_.isLeaving_(crash.target_);
        hooks_.event_(Event{EventNumber::RequestSuspected,
                            {{"upstream", crash.target_.upstream_.text()},
                             {"reason",
                              std::to_string(crash.fingerprints_.size()) + " fingerprints in flight"
                                  + (isLeaving ? " when it left as planned" : " when it ended")}}});
        if (isLeaving)
            continue;
        const auto &fingerprints = crash.fingerprints_;
        hooks_.send_(crash_message::report,
                     encode(CrashReport{crash.target_.upstream_.text(),
                                        crash.target_.incarnation_,
                                        {fingerprints.begin(), fingerprints.end()}}));
    }
}

auto CrashWatch::tick() -> void
{
    report();
    const auto now = hooks_.now_();
    auto cleared = std::set<std::string>{};
    auto refused = std::set<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        cleared.swap(cleared_);
        refused.swap(refused_);
        std::erase_if(suspects_,
                      [&](const auto &item) { return now - item.second >= suspicionLifetime; });
    }
    if (!cleared.empty())
        hooks_.send_(crash_message::served, cleared);
    if (!refused.empty())
        hooks_.send_(crash_message::refused, refused);
}

auto CrashWatch::receive(const std::string &method, const Json &params) -> bool
{
    if (method != crash_message::suspects)
        return false;
    const auto now = hooks_.now_();
    auto served = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        for (auto &fingerprint : crash_message::readFingerprints(params)) {
            if (proven_.contains(fingerprint, now))
                served.push_back(std::move(fingerprint));
            else if (suspects_.size() < maxSuspects)
                suspects_.insert_or_assign(std::move(fingerprint), now);
        }
    }
    if (!served.empty())
        hooks_.send_(crash_message::served, served);
    return true;
}

} // namespace lycheereach
