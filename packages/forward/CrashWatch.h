/// \file
/// \brief Reports what was in flight when an upstream crashed, and refuses what crashes upstreams.
#pragma once

#include "base/RankedMutex.h"
#include "base/Time.h"
#include "forward/CrashWatchHooks.h"
#include "requests/ProvenFingerprints.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheereach {

class Timer;
struct FleetState;

/// One entry's part in finding requests, and parts of prompts, that crash upstreams. Collects what
/// was in flight at an upstream whose connections break, and reports it to control once a probe
/// shows that the upstream has ended. Where an answer ends with its connection a crash looks like
/// the end, so that only a probe tells the two apart. A fingerprint with which a request ended well
/// recently is proven: it is not reported, and clears a suspicion. Fingerprints are those of
/// requests/RequestFingerprint.h; all memory is bounded, whatever callers send. Thread-safe;
/// guarded by one lock of rank LockRank::Targets.
class CrashWatch : public std::enable_shared_from_this<CrashWatch>
{
public:
    explicit CrashWatch(CrashWatchHooks hooks);

    /// Takes the blocked fingerprints from the replicated \a state. Call it after every change.
    auto update(const FleetState &state) -> void;
    /// Whether a request with \a fingerprints has to be refused; if so, control learns that such
    /// requests still come.
    auto isBlocked(const std::vector<std::string> &fingerprints) -> bool;
    /// The first of \a fingerprints that control suspects; empty when there is none. Requests with
    /// one suspect go to one upstream, so that they crash no others while the cause is sought.
    [[nodiscard]] auto findSuspect(const std::vector<std::string> &fingerprints) const
        -> std::string;
    /// Whether every part in \a fingerprints is proven, so that sending the request again after its
    /// upstream broke off does not risk another upstream.
    [[nodiscard]] auto arePartsProven(const std::vector<std::string> &fingerprints) const -> bool;
    /// A request with \a fingerprints has been answered, or its answer has gone on long enough.
    auto recordServed(const std::vector<std::string> &fingerprints) -> void;
    /// An answer to a request with \a fingerprints ended with its connection at \a target: the
    /// request has been answered if a probe finds the upstream alive, and broke if it has ended.
    /// Asks only where that is not known of every part.
    auto recordUndelimited(const ForwardTarget &target,
                           const std::vector<std::string> &fingerprints) -> void;
    /// The connection of a request with \a fingerprints broke at \a target, which may have crashed.
    auto recordBroken(const ForwardTarget &target, const std::vector<std::string> &fingerprints)
        -> void;
    /// Handles a message of control; false when \a method is not one of this class.
    auto receive(const std::string &method, const Json &params) -> bool;
    /// Sends what was collected. Call it several times in a tenth of a second.
    auto tick() -> void;

private:
    using CrashedTarget = std::pair<UpstreamId, Incarnation>;

    /// An upstream at which connections broke.
    struct Case
    {
        ForwardTarget target_;
        MonotonicTime since_;
        /// What the probe found; nothing while it runs.
        std::optional<bool> hasEnded_;
        /// In flight and not reported yet.
        std::set<std::string> fingerprints_;
        /// Of answers that ended with their connection before the probe was sent, and after: the
        /// probe shows only of the former that the upstream has outlived them.
        std::set<std::string> answered_;
        std::set<std::string> answeredSince_;
        /// Ends the time in which further connections break.
        std::shared_ptr<Timer> collectionTimer_;
    };

    /// Opens the case of \a target, or adds \a fingerprints to it; \a answered are those of answers
    /// that ended with their connection.
    auto collect(const ForwardTarget &target, const std::vector<std::string> &fingerprints,
                 const std::vector<std::string> &answered) -> void;
    auto recordProbe(const CrashedTarget &crashed, std::optional<bool> hasEnded) -> void;
    /// Reports the cases that are due.
    auto report() -> void;
    /// Cases with something to report; drops those that are no crash or old.
    auto takeDueCases(MonotonicTime now) -> std::vector<Case>;

    CrashWatchHooks hooks_;
    mutable RankedMutex mutex_;
    std::map<CrashedTarget, Case> cases_;
    ProvenFingerprints proven_;
    /// Fingerprints that control suspects, and since when.
    std::map<std::string, MonotonicTime> suspects_;
    /// Suspects with which a request has ended well; to be sent.
    std::set<std::string> cleared_;
    /// Blocked fingerprints, and when control last learned that they still come.
    std::map<std::string, MonotonicTime> blocked_;
    /// Blocked fingerprints with which requests came; to be sent.
    std::set<std::string> refused_;
};

} // namespace lycheereach
