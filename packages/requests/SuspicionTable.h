/// \file
/// \brief Finds requests that crash the upstreams that run them.
#pragma once

#include "base/Time.h"
#include "requests/CrashReport.h"
#include "requests/SuspicionStatus.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheereach {

/// Every request in flight on a target that crashes becomes a suspect, and so does every part of
/// its prompt that is known by a fingerprint. Every entry keeps this table and receives every crash
/// report before a suspect is dispatched again. The leaseholder of a target lets only one suspect
/// at a time run there. A second crash therefore has only one suspect of the first among its
/// requests: that one is the cause and is blocked, and the other suspects of both crashes are
/// cleared. Where a whole request and parts of it are suspected alike, the request is the cause,
/// since other requests with these parts may be sound; but when a part was in flight at one more
/// crash before a request with it ended well, the part is the cause. Every entry sends a suspect to
/// the target that targetForSuspect() returns, so that two callers who send the same request at the
/// same time crash one target, not two. Several crashes at about the same time with nothing in
/// common are an outage, which clears their suspects. Not thread-safe.
class SuspicionTable
{
public:
    static constexpr auto defaultRetention = std::chrono::minutes(10);

    /// removeExpired() removes suspicions older than \a retention. For \a settleTime after the
    /// first report of a crash no cause is named, so that the reports of other entries, and what
    /// they know of sound suspects, arrive first.
    explicit SuspicionTable(Duration retention = defaultRetention,
                            Duration settleTime = Duration::zero());

    /// Records a crash that this or another entry reported; repeated reports count once. Without a
    /// settle time returns what takeCauses() does, otherwise nothing.
    auto report(const CrashReport &report, MonotonicTime now) -> std::vector<std::string>;
    /// Returns the fingerprints found to be the cause of crashes that have settled since; the
    /// caller must commit a BlockRequest for each.
    auto takeCauses(MonotonicTime now) -> std::vector<std::string>;
    /// Replaces the blocked fingerprints with those of FleetState::blocked_.
    auto setBlocked(const std::set<std::string> &fingerprints, MonotonicTime now) -> void;
    [[nodiscard]] auto status(const std::string &fingerprint) const -> SuspicionStatus;
    /// The status of a request: blocked when any of \a fingerprints is blocked, suspect when any is
    /// suspect.
    [[nodiscard]] auto status(const std::vector<std::string> &fingerprints) const
        -> SuspicionStatus;

    /// For the leaseholder of \a target: whether the request may start there. A request that is not
    /// suspected always may. A suspect may when no other suspect runs there, and is then counted as
    /// running until finishRun().
    auto tryStart(const std::string &target, const std::string &fingerprint) -> bool;
    /// For the leaseholder of \a target: records that the request no longer runs there.
    auto finishRun(const std::string &target, const std::string &fingerprint) -> void;
    /// Clears the suspicion, as a request with \a fingerprint was answered completely. Returns
    /// whether there was anything to clear.
    auto clearSuspicion(const std::string &fingerprint) -> bool;
    /// Removes suspicions and crashes that are older than the retention time.
    auto removeExpired(MonotonicTime now) -> void;
    [[nodiscard]] auto suspectCount() const -> std::size_t { return suspicions_.size(); }
    [[nodiscard]] auto suspects() const -> std::set<std::string>;

    /// Suspects known at once; further ones are not recorded. Bounds the memory that callers can
    /// use up with requests that are never alike.
    static constexpr auto maxSuspects = std::size_t{4096};
    /// A settle time that is enough for the reports of all entries about one crash, and for their
    /// answers about the suspects.
    static constexpr auto fleetSettleTime = std::chrono::milliseconds(120);

private:
    /// The name of a target and the epoch or incarnation that crashed.
    using CrashedTarget = std::pair<std::string, Epoch>;

    struct Suspicion
    {
        /// The unresolved crashes at which the request was in flight.
        std::set<CrashedTarget> crashes_;
        MonotonicTime lastReportedAt_;
    };

    struct RunningSuspect
    {
        std::string fingerprint_;
        /// How many requests with this fingerprint run.
        std::uint32_t count_ = 0;
    };

    /// The fingerprint in flight at \a crash and at more other crashes that have settled than any
    /// other; empty when there is none or more than one.
    [[nodiscard]] auto causeOf(const CrashedTarget &crash, MonotonicTime now) const -> std::string;
    auto block(const std::string &fingerprint, MonotonicTime now) -> void;
    /// Remembers the parts that were in flight at several of \a crashes, whose cause is a request.
    auto keepPartsOf(const std::set<CrashedTarget> &crashes, MonotonicTime now) -> void;
    [[nodiscard]] auto containsBlocked(const CrashReport &report) const -> bool;
    /// Records that the cause of \a crash is known, and clears the requests suspected only of it.
    auto resolveCrash(const CrashedTarget &crash, MonotonicTime now) -> void;
    /// Resolves recent crashes when there are enough for an outage.
    auto resolveOutage(MonotonicTime now) -> void;

    /// Whether some fingerprint was in flight at \a crash and at another unresolved one.
    [[nodiscard]] auto sharesSuspect(const CrashedTarget &crash) const -> bool;

    Duration retention_;
    Duration settleTime_;
    /// The suspects, by fingerprint.
    std::map<std::string, Suspicion> suspicions_;
    /// The suspect that runs at each target.
    std::map<std::string, RunningSuspect> runningSuspects_;
    /// Crashes whose cause is not known, and when each was reported.
    std::map<CrashedTarget, MonotonicTime> unresolvedCrashes_;
    /// Crashes whose cause is known, and when it was found.
    std::map<CrashedTarget, MonotonicTime> resolvedCrashes_;
    /// Parts that a blocked request may have crashed upstreams with, and since when. They are no
    /// suspects, but count as in flight at one more crash.
    std::map<std::string, MonotonicTime> partsOfBlocked_;
    /// Fingerprints of blocked requests.
    std::set<std::string> blocked_;
};

/// The target out of \a candidates that a suspect is sent to, by rendezvous hashing; empty without
/// candidates.
auto targetForSuspect(const std::string &fingerprint, const std::vector<std::string> &candidates)
    -> std::string;

} // namespace lycheereach
