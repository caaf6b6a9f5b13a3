/// \file
/// \brief Runs one request: feeds its RequestMachine and carries out the resulting actions.
#pragma once

#include "base/RankedMutex.h"
#include "gateway/CallerRequest.h"
#include "gateway/RequestContext.h"
#include "requests/RequestMachine.h"
#include "serving/BrokeredPermit.h"
#include "state/Policy.h"
#include "transport/HttpCall.h"
#include "transport/HttpClient.h"
#include "transport/HttpReply.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lycheereach {

class Timer;

/// A caller's request in progress. Events may come from any thread and are handled one at a time;
/// the actions of each are carried out in order and without holding a lock.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest>
{
public:
    /// Called once, when the caller has its response and no action of the request is pending.
    using FinishedCallback = std::function<void(const RequestId &)>;

    ActiveRequest(RequestContext &context, CallerRequest request, Policy policy,
                  SuspicionStatus suspicion, std::shared_ptr<HttpReply> reply,
                  FinishedCallback onFinished);

    /// Handles \a event, on this thread or on the one that is already handling events.
    auto post(RequestEvent event) -> void;

private:
    /// The next pending event; nothing, and handling ends, without one. Reports the end of the
    /// request when the last event finished it.
    auto takeNextEvent() -> std::optional<RequestEvent>;
    auto perform(const std::vector<RequestAction> &actions) -> void;

    auto perform(const request_action::TakePermit &action) -> void;
    auto perform(const request_action::CancelPermitRequest &action) -> void;
    auto perform(const request_action::CommitClaim &action) -> void;
    auto perform(const request_action::StartAttempt &action) -> void;
    auto perform(const request_action::CancelAttempt &action) -> void;
    auto perform(const request_action::EndSilentAttempt &action) -> void;
    auto perform(const request_action::SettleClaim &action) -> void;
    auto perform(const request_action::ReturnPermit &action) -> void;
    auto perform(const request_action::Probe &action) -> void;
    auto perform(const request_action::ReportCrash &action) -> void;
    auto perform(const request_action::ClearSuspect &action) -> void;
    auto perform(const request_action::StartTimer &action) -> void;
    auto perform(const request_action::SendResponse &action) -> void;
    auto perform(const request_action::StartStream &action) -> void;
    auto perform(const request_action::SendStreamData &action) -> void;
    auto perform(const request_action::EndStream &action) -> void;
    auto perform(const request_action::SendError &action) -> void;
    auto perform(const request_action::RecordMismatchedResponse &action) -> void;

    /// Whether \a attempt may still be sent; if so, tells the leaseholder that its permit is used.
    auto authorizeStart(const AttemptId &attempt) -> bool;
    [[nodiscard]] auto makeCall(const request_action::StartAttempt &action) const -> HttpCall;
    [[nodiscard]] auto makeCallHooks(const AttemptId &attempt) -> HttpCallHooks;
    [[nodiscard]] auto responseHeaders(Verdict verdict) const -> HttpHeaders;
    /// \a isStopConfirmed is whether the upstream confirmed that it stopped the attempt.
    auto attemptEnded(const AttemptId &attempt, const HttpOutcome &outcome, bool isStopConfirmed)
        -> void;
    auto recordEvent(EventNumber number, std::map<std::string, std::string> attributes) -> void;

    RequestContext &context_;
    CallerRequest request_;
    Policy policy_;
    std::shared_ptr<HttpReply> reply_;
    FinishedCallback onFinished_;
    MonotonicTime arrivedAt_;

    /// Guards pendingEvents_ and isHandlingEvents_; the other members belong to the thread that
    /// handles events.
    RankedMutex mutex_;
    std::deque<RequestEvent> pendingEvents_;
    bool isHandlingEvents_ = false;

    RequestMachine machine_;
    bool isFinishReported_ = false;
    std::optional<BrokeredPermit> permit_;
    /// Group or service instance of the latest attempt; empty before the first.
    std::string targetName_;
    MonotonicTime attemptStartedAt_;
    /// From the start of the latest attempt; 0 until its response headers arrive.
    std::atomic<std::int64_t> timeToFirstByteNs_{0};
    /// Of the latest attempt.
    std::optional<HttpCallId> attemptCall_;
    /// Whether the upstream confirmed that it stopped the latest attempt.
    std::shared_ptr<std::atomic<bool>> isStopConfirmed_;
    std::shared_ptr<Timer> deadlineTimer_;
};

} // namespace lycheereach
