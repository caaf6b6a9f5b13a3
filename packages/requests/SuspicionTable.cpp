#include "requests/SuspicionTable.h"

#include "requests/Rendezvous.h"
#include "requests/RequestFingerprint.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

/// At least this many crashes within outageWindow, with nothing in common, are an outage.
constexpr auto outageCrashes = std::size_t{3};
constexpr auto outageWindow = std::chrono::seconds(1);

} // namespace

SuspicionTable::SuspicionTable(Duration retention, Duration settleTime)
    : retention_(retention)
    , settleTime_(settleTime)
{ }

auto SuspicionTable::report(const CrashReport &report, MonotonicTime now)
    -> std::vector<std::string>
{
    const auto crash = CrashedTarget{report.target_, report.epoch_};
    if (resolvedCrashes_.contains(crash))
        return {};
    if (containsBlocked(report)) {
        resolveCrash(crash, now);
        return {};
    }
    unresolvedCrashes_.emplace(crash, now);
    for (const auto &fingerprint : report.fingerprints_) {
        if (suspicions_.size() >= maxSuspects && !suspicions_.contains(fingerprint))
            continue;
        auto &suspicion = suspicions_[fingerprint];
        suspicion.crashes_.insert(crash);
        suspicion.lastReportedAt_ = now;
    }
    return settleTime_ == Duration::zero() ? takeCauses(now) : std::vector<std::string>{};
}

auto SuspicionTable::takeCauses(MonotonicTime now) -> std::vector<std::string>
{
    auto settled = std::vector<CrashedTarget>{};
    for (const auto &[crash, reportedAt] : unresolvedCrashes_) {
        if (reportedAt + settleTime_ <= now)
            settled.push_back(crash);
    }
    auto causes = std::vector<std::string>{};
    for (const auto &crash : settled) {
        auto cause = causeOf(crash, now);
        if (cause.empty())
            continue;
        block(cause, now);
        causes.push_back(std::move(cause));
    }
    if (causes.empty())
        resolveOutage(now);
    return causes;
}

auto SuspicionTable::containsBlocked(const CrashReport &report) const -> bool
{
    const auto &fingerprints = report.fingerprints_;
    return std::any_of(fingerprints.begin(), fingerprints.end(),
                       [&](const auto &fingerprint) { return blocked_.contains(fingerprint); });
}

auto SuspicionTable::resolveCrash(const CrashedTarget &crash, MonotonicTime now) -> void
{
    unresolvedCrashes_.erase(crash);
    resolvedCrashes_[crash] = now;
    for (auto &[fingerprint, suspicion] : suspicions_)
        suspicion.crashes_.erase(crash);
    std::erase_if(suspicions_, [](const auto &entry) { return entry.second.crashes_.empty(); });
}

auto SuspicionTable::resolveOutage(MonotonicTime now) -> void
{
    auto recentCrashes = std::vector<CrashedTarget>{};
    for (const auto &[crash, at] : unresolvedCrashes_) {
        if (at + settleTime_ <= now && at + settleTime_ + outageWindow > now
            && !sharesSuspect(crash))
            recentCrashes.push_back(crash);
    }
    if (recentCrashes.size() < outageCrashes)
        return;
    for (const auto &crash : recentCrashes)
        resolveCrash(crash, now);
}

auto SuspicionTable::sharesSuspect(const CrashedTarget &crash) const -> bool
{
    return std::any_of(suspicions_.begin(), suspicions_.end(), [&](const auto &entry) {
        const auto &crashes = entry.second.crashes_;
        return crashes.size() > 1 && crashes.contains(crash);
    });
}

auto SuspicionTable::causeOf(const CrashedTarget &crash, MonotonicTime now) const -> std::string
{
    const auto hasSettled = [&](const CrashedTarget &other) {
        const auto found = unresolvedCrashes_.find(other);
        return found != unresolvedCrashes_.end() && found->second + settleTime_ <= now;
    };
    auto most = std::size_t{1};
    auto candidates = std::vector<std::string>{};
    for (const auto &[fingerprint, suspicion] : suspicions_) {
        const auto &crashes = suspicion.crashes_;
        if (!crashes.contains(crash))
            continue;
        const auto settled = std::count_if(crashes.begin(), crashes.end(), hasSettled);
        const auto count = static_cast<std::size_t>(settled) + partsOfBlocked_.count(fingerprint);
        if (count < 2 || count < most)
            continue;
        if (count > most)
            candidates.clear();
        most = count;
        candidates.push_back(fingerprint);
    }
    const auto firstPart
        = std::partition(candidates.begin(), candidates.end(),
                         [](const auto &fingerprint) { return !isPartFingerprint(fingerprint); });
    const auto wholeRequests = std::distance(candidates.begin(), firstPart);
    const auto isUnique = candidates.size() == 1 || wholeRequests == 1;
    return isUnique ? candidates.front() : std::string{};
}

auto SuspicionTable::block(const std::string &fingerprint, MonotonicTime now) -> void
{
    blocked_.insert(fingerprint);
    const auto found = suspicions_.find(fingerprint);
    if (found == suspicions_.end())
        return;
    const auto crashes = std::move(found->second.crashes_);
    suspicions_.erase(found);
    if (isPartFingerprint(fingerprint))
        partsOfBlocked_.erase(fingerprint);
    else
        keepPartsOf(crashes, now);
    for (const auto &crash : crashes)
        resolveCrash(crash, now);
}

auto SuspicionTable::keepPartsOf(const std::set<CrashedTarget> &crashes, MonotonicTime now) -> void
{
    for (const auto &[fingerprint, suspicion] : suspicions_) {
        if (!isPartFingerprint(fingerprint) || partsOfBlocked_.size() >= maxSuspects)
            continue;
        const auto &inFlightAt = suspicion.crashes_;
        const auto shared = std::count_if(crashes.begin(), crashes.end(), [&](const auto &crash) {
            return inFlightAt.contains(crash);
        });
        if (shared > 1)
            partsOfBlocked_[fingerprint] = now;
    }
}

auto SuspicionTable::setBlocked(const std::set<std::string> &fingerprints, MonotonicTime now)
    -> void
{
    for (const auto &fingerprint : fingerprints)
        block(fingerprint, now);
    blocked_ = fingerprints;
}

auto SuspicionTable::status(const std::string &fingerprint) const -> SuspicionStatus
{
    if (blocked_.contains(fingerprint))
        return SuspicionStatus::Blocked;
    return suspicions_.contains(fingerprint) ? SuspicionStatus::Suspect : SuspicionStatus::Clear;
}

auto SuspicionTable::status(const std::vector<std::string> &fingerprints) const -> SuspicionStatus
{
    const auto isAny = [&](SuspicionStatus wanted) {
        return std::any_of(fingerprints.begin(), fingerprints.end(),
                           [&](const auto &fingerprint) { return status(fingerprint) == wanted; });
    };
    if (isAny(SuspicionStatus::Blocked))
        return SuspicionStatus::Blocked;
    return isAny(SuspicionStatus::Suspect) ? SuspicionStatus::Suspect : SuspicionStatus::Clear;
}

auto SuspicionTable::tryStart(const std::string &target, const std::string &fingerprint) -> bool
{
    const auto currentRuling = status(fingerprint);
    if (currentRuling != SuspicionStatus::Suspect)
        return currentRuling == SuspicionStatus::Clear;
    auto &runningSuspect = runningSuspects_[target];
    if (runningSuspect.count_ > 0 && runningSuspect.fingerprint_ != fingerprint)
        return false;
    runningSuspect.fingerprint_ = fingerprint;
    ++runningSuspect.count_;
    return true;
}

auto SuspicionTable::finishRun(const std::string &target, const std::string &fingerprint) -> void
{
    const auto found = runningSuspects_.find(target);
    if (found == runningSuspects_.end() || found->second.fingerprint_ != fingerprint)
        return;
    if (--found->second.count_ == 0)
        runningSuspects_.erase(found);
}

auto SuspicionTable::suspects() const -> std::set<std::string>
{
    auto fingerprints = std::set<std::string>{};
    for (const auto &[fingerprint, suspicion] : suspicions_)
        fingerprints.insert(fingerprint);
    return fingerprints;
}

auto SuspicionTable::clearSuspicion(const std::string &fingerprint) -> bool
{
    const auto wasPartOfBlocked = partsOfBlocked_.erase(fingerprint) != 0;
    return suspicions_.erase(fingerprint) != 0 || wasPartOfBlocked;
}

auto SuspicionTable::removeExpired(MonotonicTime now) -> void
{
    std::erase_if(suspicions_, [&](const auto &entry) {
        return entry.second.lastReportedAt_ + retention_ < now;
    });
    std::erase_if(partsOfBlocked_,
                  [&](const auto &entry) { return entry.second + retention_ < now; });
    std::erase_if(unresolvedCrashes_,
                  [&](const auto &entry) { return entry.second + retention_ < now; });
    std::erase_if(resolvedCrashes_,
                  [&](const auto &entry) { return entry.second + retention_ < now; });
}

auto targetForSuspect(const std::string &fingerprint, const std::vector<std::string> &candidates)
    -> std::string
{
    const auto index = rendezvousPick(fingerprint, candidates);
    return index ? candidates[*index] : std::string{};
}

} // namespace lycheereach
