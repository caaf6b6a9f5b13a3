/// \file
/// \brief Carries out the actions of one request's RequestMachine.
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

/// One request in progress. Events come from any thread and are handled one at a time, their
/// actions in order and outside of every lock.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest>
{
public:
    /// Told when the caller has its answer and nothing is under way any more.
    using Finished = std::function<void(const RequestId &)>;

    ActiveRequest(RequestContext &context, CallerRequest request, Policy policy,
                  SuspicionStatus ruling, std::shared_ptr<HttpReply> reply, Finished finished);

    /// Takes an event.
    auto post(RequestEvent event) -> void;

private:
    auto takeNext() -> std::optional<RequestEvent>;
    auto perform(const std::vector<RequestAction> &actions) -> void;

    auto perform(const request_action::TakePermit &action) -> void;
    auto perform(const request_action::CancelPermitRequest &action) -> void;
    auto perform(const request_action::CommitClaim &action) -> void;
    auto perform(const request_action::StartAttempt &action) -> void;
    auto perform(const request_action::CancelAttempt &action) -> void;
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

    /// Whether an attempt may still be sent; the leaseholder is told that it was.
    auto mayStart(const AttemptId &attempt) -> bool;
    [[nodiscard]] auto callFor(const request_action::StartAttempt &action) const -> HttpCall;
    [[nodiscard]] auto hooksFor(const AttemptId &attempt) -> HttpCallHooks;
    [[nodiscard]] auto answerHeaders(Verdict verdict) const -> HttpHeaders;
    auto attemptEnded(const AttemptId &attempt, const HttpOutcome &outcome, bool stopped) -> void;
    auto emit(EventNumber number, std::map<std::string, std::string> attributes) -> void;

    RequestContext &context_;
    CallerRequest request_;
    Policy policy_;
    std::shared_ptr<HttpReply> reply_;
    Finished finished_;
    MonotonicTime arrivedAt_;

    /// Guards the inbox; everything else belongs to the one thread that drains it.
    RankedMutex mutex_;
    std::deque<RequestEvent> inbox_;
    bool draining_ = false;

    RequestMachine machine_;
    bool done_ = false;
    std::optional<BrokeredPermit> permit_;
    std::string target_;
    MonotonicTime startedAt_;
    std::atomic<std::int64_t> firstByteNs_{0};
    std::optional<HttpCallId> call_;
    /// Whether the upstream said that it stopped the latest attempt.
    std::shared_ptr<std::atomic<bool>> stopped_;
    std::shared_ptr<Timer> timer_;
};

} // namespace lycheereach
