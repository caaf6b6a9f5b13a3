#include "client/TimelineCommand.h"

#include "client/Problem.h"
#include "client/Session.h"
#include "timeline/Timeline.h"

#include <set>

namespace lycheereach {

namespace {

constexpr auto okStatus = 200;
constexpr auto microsecondsPerSecond = 1e6;

/// The response to `GET /v1/admin/events`.
struct EventsResponse
{
    std::vector<RecordedEvent> events_;

    static constexpr auto fields() { return std::tuple{field("events", &EventsResponse::events_)}; }
};

auto makeEventsTarget(const Session &session) -> std::string
{
    const auto &line = session.commandLine_;
    auto since = std::int64_t{0};
    if (line.sinceSeconds_) {
        const auto now = session.caller_.hooks().wallClock_().time_since_epoch().count();
        since = now - static_cast<std::int64_t>(*line.sinceSeconds_ * microsecondsPerSecond);
    }
    auto target = "/v1/admin/events?since=" + std::to_string(since);
    const auto addFilter = [&](const char *name, const std::optional<std::string> &value) {
        if (value)
            target += std::string("&") + name + "=" + *value;
    };
    addFilter("request", line.requestFilter_);
    addFilter("group", line.groupFilter_);
    addFilter("upstream", line.upstreamFilter_);
    return target;
}

/// The addresses of --entries and of all entries in the status of the fleet that are not lost.
auto findEntryAddresses(Session &session) -> std::set<std::string>
{
    const auto &configured = session.caller_.entries();
    auto addresses = std::set<std::string>(configured.begin(), configured.end());
    const auto status = session.caller_.getFromAny("/v1/admin/status");
    const auto document = status ? parseJson(status->body_, "answer") : Result<Json>(Json());
    if (!document || !document->is_object())
        return addresses;
    for (const auto &entry : document->value("entries", Json::array())) {
        const auto phase = entry.is_object() ? entry.value("phase", "") : std::string("lost");
        if (phase != "lost")
            addresses.insert(entry.value("address", configured.front()));
    }
    return addresses;
}

auto fetchEvents(Session &session, const std::string &address, const std::string &target)
    -> Result<std::vector<RecordedEvent>>
{
    const auto response = session.caller_.getFrom(address, target);
    if (!response)
        return response.failure();
    if (response->status_ != okStatus)
        return Failure{Error::UpstreamRefused, address + ": " + problemText(*response)};
    const auto answer = decodeText<EventsResponse>(response->body_, "answer");
    if (!answer)
        return answer.failure();
    return answer->events_;
}

} // namespace

auto runTimeline(Session &session) -> ExitCode
{
    const auto target = makeEventsTarget(session);
    auto processes = std::vector<std::vector<RecordedEvent>>{};
    for (const auto &address : findEntryAddresses(session)) {
        const auto events = fetchEvents(session, address, target);
        if (events)
            processes.push_back(*events);
        else
            session.console_.writeDiagnostic("left out: " + events.failure().message_);
    }
    for (const auto &event : mergeTimelines(processes)) {
        session.console_.writeLine(renderEvent(event));
        session.console_.writeJson(encode(event));
    }
    return processes.empty() ? ExitCode::Unreachable : ExitCode::Ok;
}

} // namespace lycheereach
