/// \file
/// \brief Finds the request that kills the upstreams that run it.
#pragma once

#include "base/Time.h"
#include "requests/CrashReport.h"
#include "requests/SuspicionRuling.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheereach {

/// Every request in flight at a crash is a suspect. Every entry has this table and hears of every
/// crash before a suspect goes out again. The leaseholder of a target lets one suspect at a time
/// run there, so a second crash has one suspect of the first among its requests: that one is
/// named, and the others of both crashes are cleared. Every entry sends a suspect to the target
/// that suspectTarget() picks, so that two callers who send it at once cost one target together.
/// Several crashes at once that have no request in common are an outage, and their requests are no
/// suspects. Not thread-safe.
class SuspicionTable
{
public:
    /// Suspicions older than \a keep are forgotten.
    explicit SuspicionTable(Duration keep = std::chrono::minutes(10));

    /// Takes a crash, of this entry or another; the same report twice counts once. Returns the
    /// fingerprints that it names, each to be made a BlockRequest.
    auto report(const CrashReport &report, MonotonicTime now) -> std::vector<std::string>;
    /// Takes over the fingerprints of FleetState::blocked_.
    auto setBlocked(const std::set<std::string> &fingerprints, MonotonicTime now) -> void;
    [[nodiscard]] auto ruling(const std::string &fingerprint) const -> SuspicionRuling;

    /// For the leaseholder: whether \a fingerprint may start at \a target. Requests that are clear
    /// always may; a suspect may when no other suspect runs there, and then is counted as running.
    auto admit(const std::string &target, const std::string &fingerprint) -> bool;
    /// For the leaseholder: the request no longer runs at \a target.
    auto leave(const std::string &target, const std::string &fingerprint) -> void;
    /// The request was served whole; it is cleared.
    auto served(const std::string &fingerprint) -> void;
    /// Forgets old suspicions.
    auto forget(MonotonicTime now) -> void;
    [[nodiscard]] auto suspects() const -> std::size_t { return suspects_.size(); }

private:
    /// One incarnation of a target.
    using Crash = std::pair<std::string, Epoch>;

    struct Suspicion
    {
        std::set<Crash> crashes_;
        MonotonicTime since_;
    };

    struct Running
    {
        std::string fingerprint_;
        std::uint32_t count_ = 0;
    };

    /// The fingerprint that alone explains \a crash and an earlier one; empty when there is none.
    [[nodiscard]] auto namedBy(const Crash &crash) const -> std::string;
    auto block(const std::string &fingerprint, MonotonicTime now) -> void;
    [[nodiscard]] auto hasBlocked(const CrashReport &report) const -> bool;
    /// Clears the suspects of \a crash.
    auto explain(const Crash &crash, MonotonicTime now) -> void;
    auto explainOutage(MonotonicTime now) -> void;

    Duration keep_;
    std::map<std::string, Suspicion> suspects_;
    /// The suspect that runs at a target.
    std::map<std::string, Running> running_;
    /// Crashes whose cause is not known, and when each was reported.
    std::map<Crash, MonotonicTime> crashes_;
    /// Crashes whose cause is known, and since when.
    std::map<Crash, MonotonicTime> explained_;
    std::set<std::string> blocked_;
};

/// The target out of \a candidates where a suspect goes, by rendezvous hashing; empty without any.
auto suspectTarget(const std::string &fingerprint, const std::vector<std::string> &candidates)
    -> std::string;

} // namespace lycheereach
