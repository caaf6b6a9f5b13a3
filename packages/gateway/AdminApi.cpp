#include "gateway/AdminApi.h"

#include "control/ControlService.h"
#include "gateway/JsonResponse.h"
#include "gateway/KeyCheck.h"
#include "gateway/ProblemResponse.h"
#include "timeline/EventFilter.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto statusOk = std::uint16_t{200};
constexpr auto statusBadRequest = std::uint16_t{400};
constexpr auto statusConflict = std::uint16_t{409};
constexpr auto pathPrefix = std::string_view("/v1/admin/");

/// The body of a call that adds or removes one voter.
struct VoterChange
{
    OperationId operation_;
    std::string who_;
    std::optional<EntryId> add_;
    std::optional<EntryId> remove_;

    static constexpr auto fields()
    {
        return std::tuple{optionalField("operation", &VoterChange::operation_),
                          optionalField("who", &VoterChange::who_),
                          field("add", &VoterChange::add_), field("remove", &VoterChange::remove_)};
    }
};

/// The value of a query parameter; empty when it is missing.
auto queryValue(std::string_view target, std::string_view name) -> std::string
{
    auto query = target.substr(std::min(target.size(), target.find('?')));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string(pair.substr(equals + 1));
        query = end == std::string_view::npos ? std::string_view() : query.substr(end);
    }
    return {};
}

auto pathWithoutQuery(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

template <typename Number>
auto queryNumber(std::string_view target, std::string_view name) -> std::optional<Number>
{
    const auto text = queryValue(target, name);
    auto value = Number{0};
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc{} || rest != end)
        return std::nullopt;
    return value;
}

auto httpStatus(OperationStatus status) -> std::uint16_t
{
    switch (status) {
    case OperationStatus::Accepted:
        return statusOk;
    case OperationStatus::Conflict:
        return statusConflict;
    case OperationStatus::Refused:
        return statusBadRequest;
    }
    return statusBadRequest;
}

auto sendOutcome(const Result<CommandOutcome> &result, const std::shared_ptr<HttpReply> &reply)
    -> void
{
    if (!result) {
        reply->send(failureResponse(result.failure(), RequestId()));
        return;
    }
    if (!result->operation_) {
        reply->send(
            failureResponse(Failure{Error::InvalidArgument, result->message_}, RequestId()));
        return;
    }
    const auto &outcome = *result->operation_;
    reply->send(jsonResponse(httpStatus(outcome.status_), encode(outcome)));
}

} // namespace

AdminApi::AdminApi(ControlService &control, std::optional<std::string> operatorKey,
                   FindEvents findEvents, EventSink eventSink, WallClock wallClock)
    : control_(control)
    , operatorKey_(std::move(operatorKey))
    , findEvents_(std::move(findEvents))
    , eventSink_(std::move(eventSink))
    , wallClock_(std::move(wallClock))
{ }

auto AdminApi::handle(const HttpRequest &request, std::shared_ptr<HttpReply> reply) -> void
{
    const auto authorization = request.headers_.value("Authorization");
    if (!operatorKey_ || !equalKeys(bearerToken(authorization), *operatorKey_)) {
        eventSink_(Event{EventNumber::KeyRejected, {{"reason", "operator key"}}});
        reply->send(failureResponse(
            Failure{Error::Unauthorized,
                    "Authorization: the operators' key is missing or wrong; name its file with "
                    "--key-file"},
            RequestId()));
        return;
    }
    if (request.method_ == "GET")
        handleGet(request, reply);
    else
        handleChange(request, reply);
}

auto AdminApi::handleGet(const HttpRequest &request, const Reply &reply) -> void
{
    const auto callName = pathWithoutQuery(request.target_).substr(pathPrefix.size());
    if (callName == "status")
        sendStatus(reply);
    else if (callName == "declaration")
        sendDeclaration(reply);
    else if (callName == "history")
        sendHistory(reply);
    else if (callName == "in-force")
        sendInForce(request, reply);
    else if (callName == "events")
        sendEvents(request, reply);
    else
        reply->send(failureResponse(
            Failure{Error::NotFound, "there is no call GET " + request.target_}, RequestId()));
}

auto AdminApi::handleChange(const HttpRequest &request, const Reply &reply) -> void
{
    const auto callName = pathWithoutQuery(request.target_).substr(pathPrefix.size());
    if (request.method_ == "POST" && callName == "apply")
        applyDeclaration(request, reply);
    else if (request.method_ == "POST" && callName == "zone")
        setZone(request, reply);
    else if (request.method_ == "POST" && callName == "drain")
        drainUpstream(request, reply);
    else if (request.method_ == "POST" && callName == "voters")
        changeVoters(request, reply);
    else
        reply->send(failureResponse(
            Failure{Error::NotFound, "there is no call " + request.method_ + " " + request.target_},
            RequestId()));
}

auto AdminApi::nowMs() const -> std::int64_t
{
    const auto sinceEpoch = wallClock_().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

namespace {

/// Decodes a command of type \a Change from the body of \a request and proposes it.
template <typename Change>
auto proposeChange(ControlService &control, const HttpRequest &request, std::int64_t nowMs,
                   const std::shared_ptr<HttpReply> &reply) -> void
{
    auto command = decodeText<Change>(request.body_, "body");
    if (command && command->operation_.empty())
        command = Failure{Error::InvalidArgument, "body: /operation: is empty; give it an id"};
    if (!command) {
        reply->send(failureResponse(command.failure(), RequestId()));
        return;
    }
    command.value().atMs_ = nowMs;
    control.propose(*command,
                    [reply](const Result<CommandOutcome> &result) { sendOutcome(result, reply); });
}

} // namespace

auto AdminApi::applyDeclaration(const HttpRequest &request, const Reply &reply) -> void
{
    proposeChange<ApplyDeclaration>(control_, request, nowMs(), reply);
}

auto AdminApi::setZone(const HttpRequest &request, const Reply &reply) -> void
{
    proposeChange<SetZone>(control_, request, nowMs(), reply);
}

auto AdminApi::drainUpstream(const HttpRequest &request, const Reply &reply) -> void
{
    proposeChange<DrainUpstream>(control_, request, nowMs(), reply);
}

auto AdminApi::changeVoters(const HttpRequest &request, const Reply &reply) -> void
{
    const auto voterChange = decodeText<VoterChange>(request.body_, "body");
    if (!voterChange) {
        reply->send(failureResponse(voterChange.failure(), RequestId()));
        return;
    }
    const auto done = [reply](const Result<CommandOutcome> &result) {
        if (result)
            reply->send(jsonResponse(statusOk, Json{{"accepted", true}}));
        else
            reply->send(failureResponse(result.failure(), RequestId()));
    };
    const auto started = control_.changeVoters(voterChange->add_, voterChange->remove_, done);
    if (!started)
        reply->send(failureResponse(started.failure(), RequestId()));
}

auto AdminApi::sendStatus(const Reply &reply) const -> void
{
    auto status = encode(control_.status());
    control_.readState([&](const FleetState &state) {
        status["version"] = state.version_;
        status["zonesOut"] = encode(state.zonesOut_);
        status["zonesVersion"] = state.zonesVersion_;
        status["entries"] = encode(state.entries_);
        status["groups"] = encode(state.groups_);
        status["upstreams"] = encode(state.upstreams_);
        status["claims"] = state.claims_.size();
        status["blocked"] = state.blocked_.size();
    });
    reply->send(jsonResponse(statusOk, status));
}

auto AdminApi::sendDeclaration(const Reply &reply) const -> void
{
    auto answer = Json::object();
    control_.readState([&](const FleetState &state) {
        answer = Json{{"version", state.version_}, {"declaration", encode(state.declaration_)}};
    });
    reply->send(jsonResponse(statusOk, answer));
}

auto AdminApi::sendHistory(const Reply &reply) const -> void
{
    const auto operations
        = control_.readState([](const FleetState &state) { return encode(state.operations_); });
    reply->send(jsonResponse(statusOk, Json{{"operations", operations}}));
}

auto AdminApi::sendInForce(const HttpRequest &request, const Reply &reply) const -> void
{
    const auto index = queryNumber<LogIndex>(request.target_, "index");
    if (!index) {
        reply->send(failureResponse(
            Failure{Error::InvalidArgument, "index: expected the index of an operation"},
            RequestId()));
        return;
    }
    const auto isInForce = control_.inForceIndex() >= *index;
    const auto laggingEntries = isInForce ? std::vector<EntryId>{} : control_.holdersBehind(*index);
    reply->send(jsonResponse(statusOk,
                             Json{{"inForce", isInForce}, {"waitingFor", encode(laggingEntries)}}));
}

auto AdminApi::sendEvents(const HttpRequest &request, const Reply &reply) const -> void
{
    auto filter = EventFilter{};
    const auto &target = request.target_;
    const auto setFilter = [&](std::optional<std::string> &filterValue, const char *name) {
        if (auto value = queryValue(target, name); !value.empty())
            filterValue = std::move(value);
    };
    setFilter(filter.request_, "request");
    setFilter(filter.group_, "group");
    setFilter(filter.upstream_, "upstream");
    filter.sinceMicroseconds_ = queryNumber<std::int64_t>(target, "since");
    reply->send(jsonResponse(statusOk, Json{{"events", encode(findEvents_(filter))}}));
}

} // namespace lycheereach
