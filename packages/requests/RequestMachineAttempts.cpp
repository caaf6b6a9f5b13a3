// The part of RequestMachine that runs and retries attempts.
#include "requests/RequestMachine.h"

#include "requests/ProvenFingerprints.h"
#include "requests/RequestFingerprint.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <string_view>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto firstNonSuccessStatus = 300;
constexpr auto minErrorStatus = 400;
constexpr auto minServerErrorStatus = 500;
/// The finish chunk for a stream that the upstream interrupted after its last token; doneEvent ends
/// the stream.
constexpr auto lengthFinishEvent
    = std::string_view("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\","
                       "\"index\":0}],\"object\":\"chat.completion.chunk\"}\n\n");
constexpr auto doneEvent = std::string_view("data: [DONE]\n\n");

auto toHexadecimal(std::uint64_t number) -> std::string
{
    auto text = std::array<char, 17>{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
    return text.data();
}

/// Whether \a error came from the connection, so that the upstream may have crashed.
auto isConnectionError(const std::error_code &error) -> bool
{
    return error && error != Error::LeaseExpired && error != Error::Cancelled
        && error != Error::ShuttingDown;
}

} // namespace

auto RequestMachine::isCurrent(const AttemptId &attempt) const -> bool
{
    return attempt_ && attempt_->open_ && attempt_->id_ == attempt;
}

auto RequestMachine::startAttempt() -> void
{
    if (replied_ || (requiresClaim() && now_ >= claimValidUntil_)) {
        returnPermit(PermitUse::Unused);
        if (claim_ == ClaimState::Held)
            settleClaim(ClaimPhase::Released, std::nullopt);
        return replyWithError(
            {Error::LeaseExpired, "the claim was committed too late to start; send again"});
    }
    const auto permit = *permit_;
    if (now_ >= permit.validUntil_) {
        returnPermit(PermitUse::Unused);
        return takePermit();
    }
    permit_.reset();
    progress_.earlierRunTokens_ = progress_.tokens_;
    auto action = openAttempt(permit.target_, permit.validUntil_);
    action.deliveredText_ = progress_.text_;
    action.deliveredTokens_ = progress_.tokens_;
    emit(std::move(action));
}

auto RequestMachine::resumeAttempt() -> void
{
    const auto earlier = attempt_->id_;
    const auto target = attempt_->target_;
    auto action = openAttempt(target, properties_.deadline_);
    action.resumeAttempt_ = earlier;
    action.resumeOffset_ = progress_.tokens_ - progress_.earlierRunTokens_;
    emit(std::move(action));
}

auto RequestMachine::openAttempt(const RequestTarget &target, MonotonicTime validUntil)
    -> StartAttempt
{
    const auto freshConnection = !properties_.repeatable_ || attemptCount_ > 0;
    ++attemptCount_;
    const auto id = AttemptId(properties_.request_.text() + "." + std::to_string(attemptCount_)
                              + "." + toHexadecimal(callbacks_.random_()));
    const auto until = requiresClaim() ? std::min(validUntil, claimValidUntil_) : validUntil;
    attempt_.emplace(
        Attempt{id, target, until,
                ResponseAssembler(properties_.framing_, properties_.request_, id, progress_)});
    return {.attempt_ = id,
            .target_ = target,
            .freshConnection_ = freshConnection,
            .validUntil_ = until};
}

auto RequestMachine::returnPermit(PermitUse use) -> void
{
    const auto target = permit_ ? permit_->target_ : attempt_->target_;
    permit_.reset();
    emit(request_action::ReturnPermit{target, use});
}

auto RequestMachine::cancelAttempt() -> void
{
    if (!attempt_ || !attempt_->open_ || std::exchange(attempt_->cancelled_, true))
        return;
    emit(request_action::CancelAttempt{attempt_->id_, attempt_->target_});
}

auto RequestMachine::on(const request_event::ResponseHeadReceived &event) -> void
{
    if (!isCurrent(event.attempt_) || attempt_->cancelled_)
        return;
    if (!attempt_->assembler_.readHead(event.head_)) {
        emit(request_action::RecordMismatchedResponse{attempt_->id_, attempt_->target_});
        return cancelAttempt();
    }
    attempt_->status_ = event.head_.status_;
    attempt_->contentType_ = event.head_.contentType_;
    attempt_->refused_
        = event.head_.verdict_ == Verdict::NotRun && event.head_.status_ >= minErrorStatus;
}

auto RequestMachine::on(const request_event::ResponseDataReceived &event) -> void
{
    if (!isCurrent(event.attempt_) || attempt_->cancelled_)
        return;
    auto &assembler = attempt_->assembler_;
    const auto bytes = assembler.readBytes(event.bytes_);
    if (!bytes.empty())
        sendToCaller(bytes);
    if (assembler.failure())
        return cancelAttempt();
    clearPartsOfSoundStream();
    if (assembler.streaming() && assembler.complete())
        reply(request_action::EndStream{});
}

auto RequestMachine::sendToCaller(const std::string &bytes) -> void
{
    progress_ = attempt_->assembler_.progress();
    if (replied_)
        return;
    if (!std::exchange(headSent_, true))
        emit(request_action::StartStream{attempt_->status_, attempt_->contentType_});
    emit(request_action::SendStreamData{bytes});
}

auto RequestMachine::on(const request_event::ResponseSilent &event) -> void
{
    if (!isCurrent(event.attempt_) || attempt_->cancelled_ || hasReservedRetry_)
        return;
    // Without another attempt the silent one is all that the caller has, and may yet go on.
    if (!replied_) {
        if (!properties_.repeatable_ || !mayRetry() || !callbacks_.tryTakeRetry_())
            return;
        hasReservedRetry_ = true;
    }
    emit(request_action::EndSilentAttempt{attempt_->id_});
}

auto RequestMachine::on(const request_event::AttemptEnded &event) -> void
{
    if (!isCurrent(event.attempt_))
        return;
    attempt_->open_ = false;
    if (auto failure = failureOf(event))
        attemptFailed(event, std::move(*failure));
    else
        attemptSucceeded();
}

auto RequestMachine::failureOf(const request_event::AttemptEnded &event) -> std::optional<Failure>
{
    auto &assembler = attempt_->assembler_;
    if (assembler.streaming() && assembler.complete())
        return std::nullopt;
    if (assembler.failure())
        return assembler.failure();
    if (attempt_->refused_)
        return Failure{Error::UpstreamRefused,
                       "the upstream refused the request without running it", Verdict::NotRun,
                       std::chrono::seconds(1)};
    if (event.error_)
        return Failure{event.error_, event.message_, event.verdict_};
    if (const auto result = assembler.finish(); !result)
        return result.failure();
    const auto isRetryableStatus
        = properties_.repeatable_ && attempt_->status_ >= minServerErrorStatus;
    if (isRetryableStatus && attemptCount_ < properties_.attemptLimit_
        && now_ < properties_.deadline_)
        return Failure{Error::UpstreamFailed,
                       "the upstream answered with status " + std::to_string(attempt_->status_),
                       Verdict::MayHaveRun};
    if (headSent_)
        return Failure{Error::UpstreamFailed, "the upstream did not go on with the stream",
                       Verdict::MayHaveRun};
    return std::nullopt;
}

auto RequestMachine::attemptSucceeded() -> void
{
    verdict_ = Verdict::Ran;
    returnPermit(PermitUse::Completed);
    clearSuspicion();
    const auto &assembler = attempt_->assembler_;
    if (assembler.streaming())
        return reply(request_action::EndStream{});
    const auto answer = StoredAnswer{attempt_->status_, attempt_->contentType_, assembler.body()};
    if (claim_ == ClaimState::Held)
        settleClaim(ClaimPhase::Completed, answer);
    replyWhenSettled(request_action::SendResponse{answer, Verdict::Ran, false});
}

auto RequestMachine::clearSuspicion() -> void
{
    auto fingerprints = properties_.fingerprints_;
    // An upstream may refuse a request before its parts could crash it.
    if (attempt_->status_ >= firstNonSuccessStatus)
        std::erase_if(fingerprints, isPartFingerprint);
    if (!fingerprints.empty())
        emit(request_action::ClearSuspect{attempt_->target_, std::move(fingerprints)});
}

auto RequestMachine::clearPartsOfSoundStream() -> void
{
    if (!attempt_->streamSince_)
        attempt_->streamSince_ = now_;
    const auto isSound = attempt_->assembler_.streaming()
        && now_ - *attempt_->streamSince_ >= ProvenFingerprints::soundStreamTime;
    if (!isSound || std::exchange(attempt_->partsCleared_, true))
        return;
    auto parts = properties_.fingerprints_;
    std::erase_if(parts, std::not_fn(isPartFingerprint));
    if (!parts.empty())
        emit(request_action::ClearSuspect{attempt_->target_, std::move(parts)});
}

auto RequestMachine::attemptFailed(const request_event::AttemptEnded &event, Failure failure)
    -> void
{
    verdict_ = combine(verdict_, failure.verdict_);
    lastFailure_ = std::move(failure);
    failedTargets_.insert(attempt_->target_.name_);
    const auto mayHaveRun = lastFailure_.verdict_ != Verdict::NotRun;
    if (mayHaveRun && !attempt_->cancelled_ && isConnectionError(event.error_)) {
        awaitingProbe_ = true;
        return emit(request_action::Probe{attempt_->target_});
    }
    if (!mayHaveRun)
        returnPermit(attempt_->refused_ ? PermitUse::Refused : PermitUse::Unused);
    else
        returnPermit(event.stopped_ || !event.error_ ? PermitUse::Failed : PermitUse::Abandoned);
    retryOrGiveUp();
}

auto RequestMachine::on(const request_event::ProbeFinished &event) -> void
{
    if (!std::exchange(awaitingProbe_, false))
        return;
    if (event.alive_ && canResume() && mayRetry() && takeRetry())
        return resumeAttempt();
    returnPermit(event.alive_ ? PermitUse::Abandoned : PermitUse::Failed);
    if (event.alive_)
        return retryOrGiveUp();
    awaitingRuling_ = true;
    emit(request_action::ReportCrash{attempt_->target_, properties_.fingerprints_});
}

auto RequestMachine::on(const request_event::CrashReported &event) -> void
{
    if (!std::exchange(awaitingRuling_, false))
        return;
    suspect_ = suspect_ || event.ruling_ == SuspicionStatus::Suspect;
    if (event.ruling_ == SuspicionStatus::Blocked && properties_.repeatable_)
        return replyWithError(
            {Error::RequestBlocked,
             "this request crashed the upstreams that ran it and is refused; change it",
             Verdict::MayHaveRun});
    retryOrGiveUp();
}

auto RequestMachine::retryOrGiveUp() -> void
{
    if (lacksOnlyStreamEnd())
        return completeStream();
    const auto notRun = lastFailure_.verdict_ == Verdict::NotRun;
    const auto isRepeatAllowed = properties_.repeatable_ || (notRun && now_ < claimValidUntil_);
    if (isRepeatAllowed && mayRetry() && takeRetry())
        return takePermit();
    if (claim_ == ClaimState::Held)
        settleClaim(notRun ? ClaimPhase::Released : ClaimPhase::Unknown, std::nullopt);
    if (requiresClaim() && !notRun)
        return replyWithError(
            {Error::OutcomeUnknown,
             "the request may have run, its outcome is unknown, and it is not run again: "
                 + lastFailure_.message_,
             Verdict::MayHaveRun});
    replyWithError(lastFailure_);
}

auto RequestMachine::lacksOnlyStreamEnd() const -> bool
{
    if (replied_ || !headSent_ || properties_.framing_ != ResponseFraming::ChatStream)
        return false;
    const auto &progress = attempt_->assembler_.progress();
    const auto hasAllTokens = properties_.maxTokens_ && progress.tokens_ >= *properties_.maxTokens_;
    return hasAllTokens || progress.finishReasonSent_;
}

auto RequestMachine::completeStream() -> void
{
    verdict_ = Verdict::Ran;
    if (!attempt_->assembler_.progress().finishReasonSent_)
        emit(request_action::SendStreamData{std::string(lengthFinishEvent)});
    emit(request_action::SendStreamData{std::string(doneEvent)});
    reply(request_action::EndStream{});
}

auto RequestMachine::mayRetry() const -> bool
{
    return !replied_ && attemptCount_ < properties_.attemptLimit_ && now_ < properties_.deadline_;
}

auto RequestMachine::takeRetry() -> bool
{
    return std::exchange(hasReservedRetry_, false) || callbacks_.tryTakeRetry_();
}

auto RequestMachine::canResume() const -> bool
{
    const auto &progress = attempt_->assembler_.progress();
    return properties_.repeatable_ && attempt_->assembler_.streaming()
        && progress.tokens_ > progress.earlierRunTokens_;
}

} // namespace lycheereach
