/// \file
/// \brief Runs RequestMachine against simulated entries, upstreams, claims, time and faults.
#pragma once

#include "requests/RequestMachine.h"
#include "requests/SuspicionTable.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// The fault that a scenario injects.
enum class Fault {
    None,
    CrashEntry,
    CrashUpstream,
    /// An event or part of a response arrives 300 ms late.
    DelayEvent,
    DuplicateEvent,
    CutConnection,
    SilentConnection,
    PauseEntry,
    /// The response belongs to another request.
    MismatchedResponse,
    RefuseWithoutRunning,
    LoseClaimAnswer,
    CallerGone,
    RefusePermit,
    Count,
};

/// The reply that a caller received.
struct FakeReply
{
    /// Whether it is a complete response rather than an error.
    bool whole_ = false;
    Verdict verdict_ = Verdict::NotRun;
    std::uint16_t status_ = 0;
    std::string text_;
    MonotonicTime at_;
    /// Number of runs with the request's key, or of the request if it has none, at the time of the
    /// reply.
    std::uint32_t runsAtReply_ = 0;
};

/// Simulates three upstreams, the committed claims, and a separate entry for each request.
class FleetFake
{
public:
    /// Injects \a fault after \a step actions of the entries.
    FleetFake(Fault fault, std::uint32_t step);

    /// Sends a request through a new entry and runs until no work is scheduled. Returns the index
    /// of the entry.
    auto send(RequestProperties properties) -> std::size_t;

    /// From now on every run of a request with \a fingerprint crashes its upstream.
    auto crashOn(const std::string &fingerprint) -> void { crashingFingerprint_ = fingerprint; }
    [[nodiscard]] auto upstreamCrashes() const -> std::uint32_t { return upstreamCrashes_; }
    [[nodiscard]] auto suspicions() const -> const SuspicionTable & { return suspicions_; }

    [[nodiscard]] auto now() const -> MonotonicTime { return now_; }
    /// Not set when the caller received no reply.
    [[nodiscard]] auto reply(std::size_t entry) const -> std::optional<FakeReply>;
    [[nodiscard]] auto finished(std::size_t entry) const -> bool;
    [[nodiscard]] auto alive(std::size_t entry) const -> bool { return !entries_[entry].crashed_; }
    [[nodiscard]] auto pausedUntil(std::size_t entry) const -> MonotonicTime;
    [[nodiscard]] auto callerGone(std::size_t entry) const -> bool;
    [[nodiscard]] auto runCount(const std::string &name) const -> std::uint32_t;
    [[nodiscard]] auto outstandingPermits() const -> int { return outstandingPermits_; }
    /// How often a new run was dispatched after its permit had expired.
    [[nodiscard]] auto lateDispatches() const -> std::uint32_t { return lateDispatches_; }
    /// Whether the fault was injected.
    [[nodiscard]] auto injected() const -> bool { return injected_; }

    /// The name under which runs of \a properties are counted.
    static auto nameOf(const RequestProperties &properties) -> std::string;
    /// The complete response to \a properties.
    static auto answerTo(const RequestProperties &properties) -> std::string;

private:
    /// After a crash, until its report is ruled on.
    static constexpr auto settleTime = std::chrono::milliseconds(2);

    struct Entry
    {
        RequestProperties properties_;
        std::unique_ptr<RequestMachine> machine_;
        std::optional<FakeReply> reply_;
        std::string streamed_;
        MonotonicTime pausedUntil_;
        /// When the permit of the entry expires.
        MonotonicTime permitValidUntil_;
        bool crashed_ = false;
        bool callerGone_ = false;
    };

    struct Connection
    {
        std::size_t entry_ = 0;
        request_action::StartAttempt start_;
        std::size_t upstream_ = 0;
        std::uint64_t incarnation_ = 0;
        bool open_ = true;
        /// Whether the request was sent.
        bool sent_ = false;
        /// Whether the upstream's bytes no longer arrive.
        bool silent_ = false;
        /// Response parts arrive no earlier than this, and stay in order.
        MonotonicTime notBefore_;
    };

    struct Upstream
    {
        std::uint64_t incarnation_ = 1;
        bool alive_ = true;
    };

    struct ScheduledWork
    {
        MonotonicTime at_;
        std::uint64_t sequenceNumber_ = 0;
        std::function<void()> work_;

        auto operator<(const ScheduledWork &other) const -> bool
        {
            return std::pair(at_, sequenceNumber_) > std::pair(other.at_, other.sequenceNumber_);
        }
    };

    auto schedule(Duration delay, std::function<void()> work) -> void;
    auto postEvent(std::size_t entry, Duration delay, RequestEvent event) -> void;
    auto deliverEvent(std::size_t entry, const RequestEvent &event) -> void;
    auto injectFault(std::size_t entry) -> void;
    /// Marks the unsettled claims of an entry as unknown, as when its lease has expired.
    auto markClaimsUnknown(std::size_t entry, Duration delay) -> void;
    /// Crashes the upstream of the latest open connection.
    auto crashUpstream() -> void;
    auto crashUpstream(std::size_t upstream) -> void;
    auto closeConnectionsOf(std::size_t entry, bool silently) -> void;
    /// Reports the silence of an open connection again and again, as the transport does.
    auto reportSilence(std::size_t index) -> void;
    auto endConnection(std::size_t connection, Error error, Duration delay) -> void;

    auto perform(std::size_t entry, const request_action::TakePermit &action) -> void;
    auto perform(std::size_t entry, const request_action::CancelPermitRequest &action) -> void;
    auto perform(std::size_t entry, const request_action::CommitClaim &action) -> void;
    auto perform(std::size_t entry, const request_action::StartAttempt &action) -> void;
    auto perform(std::size_t entry, const request_action::CancelAttempt &action) -> void;
    auto perform(std::size_t entry, const request_action::EndSilentAttempt &action) -> void;
    auto perform(std::size_t entry, const request_action::SettleClaim &action) -> void;
    auto perform(std::size_t entry, const request_action::ReturnPermit &action) -> void;
    auto perform(std::size_t entry, const request_action::Probe &action) -> void;
    auto perform(std::size_t entry, const request_action::ReportCrash &action) -> void;
    auto perform(std::size_t entry, const request_action::ClearSuspect &action) -> void;
    auto perform(std::size_t entry, const request_action::StartTimer &action) -> void;
    auto perform(std::size_t entry, const request_action::SendResponse &action) -> void;
    auto perform(std::size_t entry, const request_action::StartStream &action) -> void;
    auto perform(std::size_t entry, const request_action::SendStreamData &action) -> void;
    auto perform(std::size_t entry, const request_action::EndStream &action) -> void;
    auto perform(std::size_t entry, const request_action::SendError &action) -> void;
    auto perform(std::size_t entry, const request_action::RecordMismatchedResponse &action) -> void;

    auto acquireClaim(std::size_t entry) -> CommandOutcome;
    /// Sends the request to the upstream, if mayDispatch() still allows it.
    auto dispatch(std::size_t connection) -> void;
    /// Runs the request at the upstream that received it.
    auto runRequest(std::size_t connection) -> void;
    auto sendResponse(std::size_t connection) -> void;
    auto sendResponsePart(std::size_t connection, Duration delay, RequestEvent event) -> void;
    auto recordReply(std::size_t entry, FakeReply reply) -> void;

    Fault fault_;
    /// The action before which the fault is injected.
    std::uint32_t step_;
    std::uint32_t actionCount_ = 0;
    bool injected_ = false;
    MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));
    std::uint64_t nextSequenceNumber_ = 0;
    std::priority_queue<ScheduledWork> scheduledWork_;
    std::vector<Entry> entries_;
    std::vector<Connection> connections_;
    std::vector<Upstream> upstreams_ = {{}, {}, {}};
    std::map<IdempotencyKey, Claim> claims_;
    std::map<std::string, std::uint32_t> runCounts_;
    int outstandingPermits_ = 0;
    bool delayNextEvent_ = false;
    bool duplicateNextEvent_ = false;
    bool mismatchNextResponse_ = false;
    bool refuseNextRequest_ = false;
    bool loseNextClaimAnswer_ = false;
    bool refuseNextPermit_ = false;
    std::uint32_t lateDispatches_ = 0;
    std::string crashingFingerprint_;
    std::uint32_t upstreamCrashes_ = 0;
    SuspicionTable suspicions_ = SuspicionTable(std::chrono::minutes(10), settleTime);
};

} // namespace lycheereach
