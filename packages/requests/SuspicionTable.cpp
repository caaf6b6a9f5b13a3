#include "requests/SuspicionTable.h"

#include "requests/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

/// So many crashes of targets within the window, with no request in common, are an outage.
constexpr auto outageCrashes = std::size_t{3};
constexpr auto outageWindow = std::chrono::seconds(1);

} // namespace

SuspicionTable::SuspicionTable(Duration keep)
    : keep_(keep)
{ }

auto SuspicionTable::report(const CrashReport &report, MonotonicTime now)
    -> std::vector<std::string>
{
    const auto crash = Crash{report.target_, report.epoch_};
    if (explained_.contains(crash))
        return {};
    if (hasBlocked(report)) {
        explain(crash, now);
        return {};
    }
    crashes_.emplace(crash, now);
    for (const auto &fingerprint : report.fingerprints_) {
        auto &suspicion = suspects_[fingerprint];
        suspicion.crashes_.insert(crash);
        suspicion.since_ = now;
    }
    const auto named = namedBy(crash);
    if (!named.empty()) {
        block(named, now);
        return {named};
    }
    explainOutage(now);
    return {};
}

auto SuspicionTable::hasBlocked(const CrashReport &report) const -> bool
{
    const auto &fingerprints = report.fingerprints_;
    return std::any_of(fingerprints.begin(), fingerprints.end(),
                       [&](const auto &fingerprint) { return blocked_.contains(fingerprint); });
}

auto SuspicionTable::explain(const Crash &crash, MonotonicTime now) -> void
{
    crashes_.erase(crash);
    explained_[crash] = now;
    for (auto &[fingerprint, suspicion] : suspects_)
        suspicion.crashes_.erase(crash);
    std::erase_if(suspects_, [](const auto &entry) { return entry.second.crashes_.empty(); });
}

auto SuspicionTable::explainOutage(MonotonicTime now) -> void
{
    auto together = std::vector<Crash>{};
    for (const auto &[crash, at] : crashes_) {
        if (at + outageWindow > now)
            together.push_back(crash);
    }
    if (together.size() < outageCrashes)
        return;
    for (const auto &crash : together)
        explain(crash, now);
}

auto SuspicionTable::namedBy(const Crash &crash) const -> std::string
{
    auto named = std::string{};
    for (const auto &[fingerprint, suspicion] : suspects_) {
        if (suspicion.crashes_.size() < 2 || !suspicion.crashes_.contains(crash))
            continue;
        if (!named.empty())
            return {};
        named = fingerprint;
    }
    return named;
}

auto SuspicionTable::block(const std::string &fingerprint, MonotonicTime now) -> void
{
    blocked_.insert(fingerprint);
    const auto found = suspects_.find(fingerprint);
    if (found == suspects_.end())
        return;
    const auto crashes = std::move(found->second.crashes_);
    suspects_.erase(found);
    for (const auto &crash : crashes)
        explain(crash, now);
}

auto SuspicionTable::setBlocked(const std::set<std::string> &fingerprints, MonotonicTime now)
    -> void
{
    for (const auto &fingerprint : fingerprints)
        block(fingerprint, now);
    blocked_ = fingerprints;
}

auto SuspicionTable::ruling(const std::string &fingerprint) const -> SuspicionRuling
{
    if (blocked_.contains(fingerprint))
        return SuspicionRuling::Blocked;
    return suspects_.contains(fingerprint) ? SuspicionRuling::Suspect : SuspicionRuling::Clear;
}

auto SuspicionTable::admit(const std::string &target, const std::string &fingerprint) -> bool
{
    const auto known = ruling(fingerprint);
    if (known != SuspicionRuling::Suspect)
        return known == SuspicionRuling::Clear;
    auto &running = running_[target];
    if (running.count_ > 0 && running.fingerprint_ != fingerprint)
        return false;
    running.fingerprint_ = fingerprint;
    ++running.count_;
    return true;
}

auto SuspicionTable::leave(const std::string &target, const std::string &fingerprint) -> void
{
    const auto found = running_.find(target);
    if (found == running_.end() || found->second.fingerprint_ != fingerprint)
        return;
    if (--found->second.count_ == 0)
        running_.erase(found);
}

auto SuspicionTable::served(const std::string &fingerprint) -> void
{
    suspects_.erase(fingerprint);
}

auto SuspicionTable::forget(MonotonicTime now) -> void
{
    std::erase_if(suspects_, [&](const auto &entry) { return entry.second.since_ + keep_ < now; });
    std::erase_if(crashes_, [&](const auto &entry) { return entry.second + keep_ < now; });
    std::erase_if(explained_, [&](const auto &entry) { return entry.second + keep_ < now; });
}

auto suspectTarget(const std::string &fingerprint, const std::vector<std::string> &candidates)
    -> std::string
{
    const auto index = rendezvousPick(fingerprint, candidates);
    return index ? candidates[*index] : std::string{};
}

} // namespace lycheereach
