#include "requests/FleetFake.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

using namespace std::chrono_literals;

namespace {

constexpr auto tokenCount = std::uint64_t{4};
constexpr auto permitTtl = 1s;
constexpr auto idleTimeout = 100ms;
constexpr auto pauseDuration = 3s;
constexpr auto eventDelay = 300ms;

auto token(const std::string &name, std::uint64_t number) -> std::string
{
    return name + "#" + std::to_string(number) + " ";
}

auto chunk(const std::string &name, std::uint64_t number, std::uint64_t earlierRunTokens)
    -> std::string
{
    const auto json = Json{{"choices", {{{"delta", {{"content", token(name, number)}}}}}}};
    return "id: " + std::to_string(number - earlierRunTokens) + "\ndata: " + json.dump() + "\n\n";
}

} // namespace

FleetFake::FleetFake(Fault fault, std::uint32_t step)
    : fault_(fault)
    , step_(step)
{ }

auto FleetFake::nameOf(const RequestProperties &properties) -> std::string
{
    return properties.idempotencyKey_.empty() ? properties.request_.text()
                                              : properties.idempotencyKey_.text();
}

auto FleetFake::answerTo(const RequestProperties &properties) -> std::string
{
    if (properties.framing_ != ResponseFraming::ChatStream)
        return Json{{"answer", nameOf(properties)}}.dump();
    auto text = std::string{};
    for (auto i = std::uint64_t{1}; i <= tokenCount; ++i)
        text += token(nameOf(properties), i);
    return text;
}

auto FleetFake::reply(std::size_t entry) const -> std::optional<FakeReply>
{
    return entries_[entry].reply_;
}

auto FleetFake::finished(std::size_t entry) const -> bool
{
    return entries_[entry].machine_->finished();
}

auto FleetFake::pausedUntil(std::size_t entry) const -> MonotonicTime
{
    return entries_[entry].pausedUntil_;
}

auto FleetFake::callerGone(std::size_t entry) const -> bool
{
    return entries_[entry].callerGone_;
}

auto FleetFake::runCount(const std::string &name) const -> std::uint32_t
{
    const auto found = runCounts_.find(name);
    return found == runCounts_.end() ? 0 : found->second;
}

auto FleetFake::send(RequestProperties properties) -> std::size_t
{
    properties.deadline_ = now_ + 2s;
    properties.suspicion_ = suspicions_.status(properties.fingerprints_);
    const auto index = entries_.size();
    auto callbacks
        = RequestCallbacks{[] { return true; }, [this] { return ++nextSequenceNumber_; }};
    auto machine = std::make_unique<RequestMachine>(properties, callbacks);
    entries_.push_back({properties, std::move(machine)});
    postEvent(index, 0ms, request_event::Start{});
    while (!scheduledWork_.empty()) {
        const auto next = scheduledWork_.top();
        scheduledWork_.pop();
        now_ = std::max(now_, next.at_);
        next.work_();
    }
    return index;
}

auto FleetFake::schedule(Duration delay, std::function<void()> work) -> void
{
    scheduledWork_.push({now_ + delay, ++nextSequenceNumber_, std::move(work)});
}

auto FleetFake::postEvent(std::size_t entry, Duration delay, RequestEvent event) -> void
{
    schedule(delay, [this, entry, event = std::move(event)] { deliverEvent(entry, event); });
}

auto FleetFake::deliverEvent(std::size_t index, const RequestEvent &event) -> void
{
    if (entries_[index].crashed_)
        return;
    if (now_ < entries_[index].pausedUntil_)
        return postEvent(index, entries_[index].pausedUntil_ - now_, event);
    const auto isNotTimer = !std::holds_alternative<request_event::DeadlinePassed>(event);
    if (isNotTimer && std::exchange(delayNextEvent_, false))
        return postEvent(index, eventDelay, event);
    if (isNotTimer && std::exchange(duplicateNextEvent_, false))
        postEvent(index, 3ms, event);
    for (const auto &action : entries_[index].machine_->handle(event, now_)) {
        if (actionCount_++ == step_)
            injectFault(index);
        if (entries_[index].crashed_)
            return;
        std::visit([&](const auto &typedAction) { perform(index, typedAction); }, action);
    }
}

auto FleetFake::injectFault(std::size_t index) -> void
{
    injected_ = true;
    switch (fault_) {
    case Fault::CrashEntry:
        entries_[index].crashed_ = true;
        return markClaimsUnknown(index, 100ms);
    case Fault::CrashUpstream:
        return schedule(1ms, [this] { crashUpstream(); });
    case Fault::PauseEntry:
        entries_[index].pausedUntil_ = now_ + pauseDuration;
        return markClaimsUnknown(index, 500ms);
    case Fault::CutConnection:
    case Fault::SilentConnection:
        return schedule(
            1ms, [=, this] { closeConnectionsOf(index, fault_ == Fault::SilentConnection); });
    case Fault::CallerGone:
        entries_[index].callerGone_ = true;
        return postEvent(index, 0ms, request_event::CallerDisconnected{});
    default:
        delayNextEvent_ = fault_ == Fault::DelayEvent;
        duplicateNextEvent_ = fault_ == Fault::DuplicateEvent;
        mismatchNextResponse_ = fault_ == Fault::MismatchedResponse;
        refuseNextRequest_ = fault_ == Fault::RefuseWithoutRunning;
        loseNextClaimAnswer_ = fault_ == Fault::LoseClaimAnswer;
        refuseNextPermit_ = fault_ == Fault::RefusePermit;
    }
}

auto FleetFake::markClaimsUnknown(std::size_t index, Duration delay) -> void
{
    schedule(delay, [=, this] {
        for (auto &[key, claim] : claims_) {
            const auto isHeldByEntry = claim.request_ == entries_[index].properties_.request_;
            if (isHeldByEntry && claim.phase_ == ClaimPhase::Claimed)
                claim.phase_ = ClaimPhase::Unknown;
        }
    });
}

auto FleetFake::crashUpstream() -> void
{
    auto crashedUpstream = std::size_t{0};
    for (const auto &connection : connections_) {
        if (connection.open_)
            crashedUpstream = connection.upstream_;
    }
    crashUpstream(crashedUpstream);
}

auto FleetFake::crashUpstream(std::size_t crashedUpstream) -> void
{
    ++upstreamCrashes_;
    upstreams_[crashedUpstream].alive_ = false;
    for (auto i = std::size_t{0}; i < connections_.size(); ++i) {
        if (connections_[i].open_ && connections_[i].upstream_ == crashedUpstream)
            endConnection(i, Error::ConnectionFailed, 0ms);
    }
    schedule(50ms, [=, this] {
        upstreams_[crashedUpstream].alive_ = true;
        ++upstreams_[crashedUpstream].incarnation_;
    });
}

auto FleetFake::closeConnectionsOf(std::size_t entry, bool silently) -> void
{
    for (auto i = std::size_t{0}; i < connections_.size(); ++i) {
        if (!connections_[i].open_ || connections_[i].entry_ != entry)
            continue;
        connections_[i].silent_ = true;
        if (silently)
            reportSilence(i);
        else
            endConnection(i, Error::ConnectionFailed, 0ms);
    }
}

auto FleetFake::reportSilence(std::size_t index) -> void
{
    schedule(idleTimeout, [=, this] {
        const auto &connection = connections_[index];
        if (!connection.open_)
            return;
        postEvent(connection.entry_, 0ms,
                  request_event::ResponseSilent{connection.start_.attempt_});
        reportSilence(index);
    });
}

auto FleetFake::endConnection(std::size_t index, Error error, Duration delay) -> void
{
    auto &connection = connections_[index];
    connection.open_ = false;
    const auto verdict = connection.sent_ ? Verdict::MayHaveRun : Verdict::NotRun;
    postEvent(connection.entry_, delay,
              request_event::AttemptEnded{connection.start_.attempt_, error, verdict, "closed"});
}

auto FleetFake::perform(std::size_t entry, const request_action::TakePermit &action) -> void
{
    ++outstandingPermits_;
    if (std::exchange(refuseNextPermit_, false)) {
        --outstandingPermits_;
        return postEvent(entry, 1ms, request_event::PermitRefused{{Error::Overloaded, "full"}});
    }
    auto chosen = std::size_t{0};
    while (
        chosen + 1 < upstreams_.size()
        && (action.failedTargets_.contains(std::to_string(chosen)) || !upstreams_[chosen].alive_))
        ++chosen;
    const auto target = RequestTarget{std::to_string(chosen), upstreams_[chosen].incarnation_, "a"};
    entries_[entry].permitValidUntil_ = now_ + permitTtl;
    postEvent(entry, 1ms, request_event::PermitGranted{target, now_ + permitTtl});
}

auto FleetFake::perform(std::size_t, const request_action::CancelPermitRequest &) -> void { }

auto FleetFake::acquireClaim(std::size_t entry) -> CommandOutcome
{
    const auto &properties = entries_[entry].properties_;
    const auto found = claims_.find(properties.idempotencyKey_);
    if (found != claims_.end() && found->second.phase_ != ClaimPhase::Released)
        return {true, "", std::nullopt, found->second, false};
    auto &claim = claims_[properties.idempotencyKey_];
    claim = Claim{properties.idempotencyKey_, properties.digest_, EntryId("e"), 1,
                  properties.request_};
    return {true, "", std::nullopt, claim, true};
}

auto FleetFake::perform(std::size_t entry, const request_action::CommitClaim &) -> void
{
    schedule(1ms, [=, this] {
        const auto outcome = acquireClaim(entry);
        if (std::exchange(loseNextClaimAnswer_, false))
            return postEvent(entry, 200ms,
                             request_event::ClaimFailed{{Error::NotLeader, "no answer"}});
        postEvent(entry, 1ms, request_event::ClaimAnswered{outcome});
    });
}

auto FleetFake::perform(std::size_t entry, const request_action::SettleClaim &action) -> void
{
    schedule(1ms, [=, this] {
        const auto found = claims_.find(action.command_.key_);
        const auto isOwnClaim = found != claims_.end()
            && found->second.request_ == action.command_.request_
            && found->second.phase_ == ClaimPhase::Claimed;
        if (isOwnClaim) {
            found->second.phase_ = action.command_.phase_;
            found->second.answer_ = action.command_.answer_;
        }
        postEvent(entry, 1ms, request_event::ClaimSettled{});
    });
}

auto FleetFake::perform(std::size_t entry, const request_action::StartAttempt &action) -> void
{
    const auto upstream = std::stoul(action.target_.name_);
    connections_.push_back({entry, action, upstream, upstreams_[upstream].incarnation_});
    const auto index = connections_.size() - 1;
    schedule(1ms, [=, this] { dispatch(index); });
}

auto FleetFake::dispatch(std::size_t index) -> void
{
    auto &connection = connections_[index];
    auto &entry = entries_[connection.entry_];
    if (entry.crashed_ || !connection.open_)
        return;
    if (now_ < entry.pausedUntil_)
        return schedule(entry.pausedUntil_ - now_, [=, this] { dispatch(index); });
    if (!entry.machine_->mayDispatch(connection.start_.attempt_, now_))
        return endConnection(index, Error::LeaseExpired, 0ms);
    if (!upstreams_[connection.upstream_].alive_)
        return endConnection(index, Error::ConnectionFailed, 0ms);
    if (connection.start_.resumeAttempt_.empty() && now_ >= entry.permitValidUntil_)
        ++lateDispatches_;
    connection.sent_ = true;
    schedule(1ms, [=, this] { runRequest(index); });
}

auto FleetFake::runRequest(std::size_t index) -> void
{
    auto &connection = connections_[index];
    auto &upstream = upstreams_[connection.upstream_];
    if (!upstream.alive_)
        return;
    connection.incarnation_ = upstream.incarnation_;
    const auto head
        = ResponseHead{503, "text/plain", entries_[connection.entry_].properties_.request_,
                       connection.start_.attempt_, Verdict::NotRun};
    if (std::exchange(refuseNextRequest_, false)) {
        sendResponsePart(index, 1ms,
                         request_event::ResponseHeadReceived{connection.start_.attempt_, head});
        return sendResponsePart(index, 2ms,
                                request_event::AttemptEnded{connection.start_.attempt_});
    }
    if (connection.start_.resumeAttempt_.empty())
        ++runCounts_[nameOf(entries_[connection.entry_].properties_)];
    const auto &fingerprints = entries_[connection.entry_].properties_.fingerprints_;
    if (std::find(fingerprints.begin(), fingerprints.end(), crashingFingerprint_)
        != fingerprints.end())
        return crashUpstream(connection.upstream_);
    sendResponse(index);
}

auto FleetFake::sendResponse(std::size_t index) -> void
{
    const auto &connection = connections_[index];
    const auto &properties = entries_[connection.entry_].properties_;
    const auto id = connection.start_.attempt_;
    const auto mismatched = std::exchange(mismatchNextResponse_, false);
    const auto isStream = properties.framing_ == ResponseFraming::ChatStream;
    const auto type = isStream ? "text/event-stream" : "application/json";
    const auto request = mismatched ? RequestId("other") : properties.request_;
    sendResponsePart(
        index, 1ms,
        request_event::ResponseHeadReceived{id, {200, type, request, id, std::nullopt}});
    auto delay = Duration(2ms);
    const auto name = mismatched ? "other" : nameOf(properties);
    if (!isStream)
        sendResponsePart(index, delay,
                         request_event::ResponseDataReceived{id, Json{{"answer", name}}.dump()});
    const auto earlierRunTokens = connection.start_.deliveredTokens_;
    const auto resumeOffset = connection.start_.resumeOffset_;
    // A resumed attempt sends its last token again.
    const auto first
        = std::max<std::uint64_t>(earlierRunTokens + resumeOffset, 1 + earlierRunTokens);
    for (auto i = first; isStream && i <= tokenCount; ++i, delay += 2ms)
        sendResponsePart(index, delay,
                         request_event::ResponseDataReceived{id, chunk(name, i, earlierRunTokens)});
    if (isStream)
        sendResponsePart(index, delay, request_event::ResponseDataReceived{id, "data: [DONE]\n\n"});
    sendResponsePart(index, delay + 1ms, request_event::AttemptEnded{id});
}

auto FleetFake::sendResponsePart(std::size_t index, Duration delay, RequestEvent event) -> void
{
    schedule(delay, [=, this] {
        auto &connection = connections_[index];
        const auto &upstream = upstreams_[connection.upstream_];
        const auto sameIncarnation
            = upstream.alive_ && upstream.incarnation_ == connection.incarnation_;
        if (!connection.open_ || connection.silent_ || !sameIncarnation)
            return;
        if (std::exchange(delayNextEvent_, false))
            connection.notBefore_ = now_ + eventDelay;
        if (now_ < connection.notBefore_)
            return sendResponsePart(index, connection.notBefore_ - now_, event);
        if (std::holds_alternative<request_event::AttemptEnded>(event))
            connection.open_ = false;
        deliverEvent(connection.entry_, event);
    });
}

auto FleetFake::perform(std::size_t, const request_action::CancelAttempt &action) -> void
{
    for (auto i = std::size_t{0}; i < connections_.size(); ++i) {
        if (connections_[i].open_ && connections_[i].start_.attempt_ == action.attempt_)
            endConnection(i, Error::Cancelled, 1ms);
    }
}

auto FleetFake::perform(std::size_t, const request_action::EndSilentAttempt &action) -> void
{
    for (auto i = std::size_t{0}; i < connections_.size(); ++i) {
        if (connections_[i].open_ && connections_[i].start_.attempt_ == action.attempt_)
            endConnection(i, Error::ConnectionSilent, 1ms);
    }
}

auto FleetFake::perform(std::size_t, const request_action::ReturnPermit &) -> void
{
    --outstandingPermits_;
}

auto FleetFake::perform(std::size_t entry, const request_action::Probe &action) -> void
{
    const auto &upstream = upstreams_[std::stoul(action.target_.name_)];
    const auto alive = upstream.alive_ && upstream.incarnation_ == action.target_.epoch_;
    postEvent(entry, 2ms, request_event::ProbeFinished{alive});
}

auto FleetFake::perform(std::size_t entry, const request_action::ReportCrash &action) -> void
{
    suspicions_.report({action.target_.name_, action.target_.epoch_, action.fingerprints_}, now_);
    schedule(settleTime, [=, this] {
        suspicions_.takeCauses(now_);
        const auto &fingerprints = entries_[entry].properties_.fingerprints_;
        deliverEvent(entry, request_event::CrashReported{suspicions_.status(fingerprints)});
    });
}

auto FleetFake::perform(std::size_t, const request_action::ClearSuspect &action) -> void
{
    for (const auto &fingerprint : action.fingerprints_)
        suspicions_.clearSuspicion(fingerprint);
}

auto FleetFake::perform(std::size_t entry, const request_action::StartTimer &action) -> void
{
    postEvent(entry, action.at_ - now_, request_event::DeadlinePassed{});
}

auto FleetFake::perform(std::size_t entry, const request_action::SendResponse &action) -> void
{
    recordReply(entry, {true, action.verdict_, action.answer_.status_, action.answer_.body_});
}

auto FleetFake::perform(std::size_t, const request_action::StartStream &) -> void { }

auto FleetFake::perform(std::size_t entry, const request_action::SendStreamData &action) -> void
{
    entries_[entry].streamed_ += action.bytes_;
}

auto FleetFake::perform(std::size_t entry, const request_action::EndStream &) -> void
{
    auto text = std::string{};
    const auto &streamed = entries_[entry].streamed_;
    for (auto at = streamed.find("data: {"); at != std::string::npos;
         at = streamed.find("data: {", at + 1)) {
        const auto line = streamed.substr(at + 6, streamed.find('\n', at) - at - 6);
        text += Json::parse(line)["choices"][0]["delta"]["content"].get<std::string>();
    }
    const auto hasEndMark = streamed.ends_with("data: [DONE]\n\n");
    recordReply(entry, {true, Verdict::Ran, 200, hasEndMark ? text : text + " without end mark"});
}

auto FleetFake::perform(std::size_t entry, const request_action::SendError &action) -> void
{
    recordReply(
        entry, {false, action.problem_.verdict_, action.problem_.status_, action.problem_.detail_});
}

auto FleetFake::perform(std::size_t, const request_action::RecordMismatchedResponse &) -> void { }

auto FleetFake::recordReply(std::size_t entry, FakeReply reply) -> void
{
    reply.at_ = now_;
    reply.runsAtReply_ = runCount(nameOf(entries_[entry].properties_));
    if (entries_[entry].reply_)
        reply.text_ = "second reply: " + reply.text_;
    entries_[entry].reply_ = reply;
}

} // namespace lycheereach
