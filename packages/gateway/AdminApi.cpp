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

constexpr auto ok = std::uint16_t{200};
constexpr auto badRequest = std::uint16_t{400};
constexpr auto conflict = std::uint16_t{409};
constexpr auto prefix = std::string_view("/v1/admin/");

/// A body that names one voter to add or to remove.
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

auto pathOf(std::string_view target) -> std::string_view
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

auto statusOfOutcome(OperationStatus status) -> std::uint16_t
{
    switch (status) {
    case OperationStatus::Accepted:
        return ok;
    case OperationStatus::Conflict:
        return conflict;
    case OperationStatus::Refused:
        return badRequest;
    }
    return badRequest;
}

auto answerOutcome(const Result<CommandOutcome> &result, const std::shared_ptr<HttpReply> &reply)
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
    reply->send(jsonResponse(statusOfOutcome(outcome.status_), encode(outcome)));
}

} // namespace

AdminApi::AdminApi(ControlService &control, std::optional<std::string> key, RecentEvents events,
                   EventSink event, WallClock wallNow)
    : control_(control)
    , key_(std::move(key))
    , events_(std::move(events))
    , event_(std::move(event))
    , wallNow_(std::move(wallNow))
{ }

auto AdminApi::handle(const HttpRequest &request, std::shared_ptr<HttpReply> reply) -> void
{
    const auto authorization = request.headers_.value("Authorization");
    if (!key_ || !sameKey(bearerKey(authorization), *key_)) {
        event_(Event{EventNumber::KeyRejected, {{"reason", "operator key"}}});
        reply->send(failureResponse(
            Failure{Error::Unauthorized,
                    "Authorization: the operators' key is missing or wrong; name its file with "
                    "--key-file"},
            RequestId()));
        return;
    }
    if (request.method_ == "GET")
        read(request, reply);
    else
        change(request, reply);
}

auto AdminApi::read(const HttpRequest &request, const Reply &reply) -> void
{
    const auto what = pathOf(request.target_).substr(prefix.size());
    if (what == "status")
        status(reply);
    else if (what == "declaration")
        declaration(reply);
    else if (what == "history")
        history(reply);
    else if (what == "in-force")
        inForce(request, reply);
    else if (what == "events")
        events(request, reply);
    else
        reply->send(failureResponse(
            Failure{Error::NotFound, "there is no call GET " + request.target_}, RequestId()));
}

auto AdminApi::change(const HttpRequest &request, const Reply &reply) -> void
{
    const auto what = pathOf(request.target_).substr(prefix.size());
    if (request.method_ == "POST" && what == "apply")
        apply(request, reply);
    else if (request.method_ == "POST" && what == "zone")
        zone(request, reply);
    else if (request.method_ == "POST" && what == "drain")
        drain(request, reply);
    else if (request.method_ == "POST" && what == "voters")
        voters(request, reply);
    else
        reply->send(failureResponse(
            Failure{Error::NotFound, "there is no call " + request.method_ + " " + request.target_},
            RequestId()));
}

auto AdminApi::nowMs() const -> std::int64_t
{
    const auto since = wallNow_().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

namespace {

/// Reads a \a Change from the body and proposes it.
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
    control.propose(
        *command, [reply](const Result<CommandOutcome> &result) { answerOutcome(result, reply); });
}

} // namespace

auto AdminApi::apply(const HttpRequest &request, const Reply &reply) -> void
{
    proposeChange<ApplyDeclaration>(control_, request, nowMs(), reply);
}

auto AdminApi::zone(const HttpRequest &request, const Reply &reply) -> void
{
    proposeChange<SetZone>(control_, request, nowMs(), reply);
}

auto AdminApi::drain(const HttpRequest &request, const Reply &reply) -> void
{
    proposeChange<DrainUpstream>(control_, request, nowMs(), reply);
}

auto AdminApi::voters(const HttpRequest &request, const Reply &reply) -> void
{
    const auto change = decodeText<VoterChange>(request.body_, "body");
    if (!change) {
        reply->send(failureResponse(change.failure(), RequestId()));
        return;
    }
    const auto done = [reply](const Result<CommandOutcome> &result) {
        if (result)
            reply->send(jsonResponse(ok, Json{{"accepted", true}}));
        else
            reply->send(failureResponse(result.failure(), RequestId()));
    };
    const auto begun = control_.changeVoters(change->add_, change->remove_, done);
    if (!begun)
        reply->send(failureResponse(begun.failure(), RequestId()));
}

auto AdminApi::status(const Reply &reply) const -> void
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
    reply->send(jsonResponse(ok, status));
}

auto AdminApi::declaration(const Reply &reply) const -> void
{
    auto answer = Json::object();
    control_.readState([&](const FleetState &state) {
        answer = Json{{"version", state.version_}, {"declaration", encode(state.declaration_)}};
    });
    reply->send(jsonResponse(ok, answer));
}

auto AdminApi::history(const Reply &reply) const -> void
{
    const auto operations
        = control_.readState([](const FleetState &state) { return encode(state.operations_); });
    reply->send(jsonResponse(ok, Json{{"operations", operations}}));
}

auto AdminApi::inForce(const HttpRequest &request, const Reply &reply) const -> void
{
    const auto index = queryNumber<LogIndex>(request.target_, "index");
    if (!index) {
        reply->send(failureResponse(
            Failure{Error::InvalidArgument, "index: expected the index of an operation"},
            RequestId()));
        return;
    }
    const auto reached = control_.inForceIndex() >= *index;
    const auto waiting = reached ? std::vector<EntryId>{} : control_.holdersBehind(*index);
    reply->send(jsonResponse(ok, Json{{"inForce", reached}, {"waitingFor", encode(waiting)}}));
}

auto AdminApi::events(const HttpRequest &request, const Reply &reply) const -> void
{
    auto filter = EventFilter{};
    const auto &target = request.target_;
    const auto take = [&](std::optional<std::string> &wanted, const char *name) {
        if (auto value = queryValue(target, name); !value.empty())
            wanted = std::move(value);
    };
    take(filter.request_, "request");
    take(filter.group_, "group");
    take(filter.upstream_, "upstream");
    filter.sinceMicroseconds_ = queryNumber<std::int64_t>(target, "since");
    reply->send(jsonResponse(ok, Json{{"events", encode(events_(filter))}}));
}

} // namespace lycheereach
