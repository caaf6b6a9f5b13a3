#include "client/TimelineCommand.h"

#include "client/Problem.h"
#include "client/Session.h"
#include "timeline/Timeline.h"

#include <set>

namespace lycheereach {

namespace {

constexpr auto okStatus = 200;
constexpr auto microsecondsPerSecond = 1e6;

/// The events of one answer of an entry.
struct EventsAnswer
{
    std::vector<RecordedEvent> events_;

    static constexpr auto fields() { return std::tuple{field("events", &EventsAnswer::events_)}; }
};

auto targetOf(const Session &session) -> std::string
{
    const auto &line = session.line_;
    auto since = std::int64_t{0};
    if (line.sinceSeconds_) {
        const auto now = session.caller_.hooks().wallClock_().time_since_epoch().count();
        since = now - static_cast<std::int64_t>(*line.sinceSeconds_ * microsecondsPerSecond);
    }
    auto target = "/v1/admin/events?since=" + std::to_string(since);
    const auto add = [&](const char *name, const std::optional<std::string> &value) {
        if (value)
            target += std::string("&") + name + "=" + *value;
    };
    add("request", line.request_);
    add("group", line.group_);
    add("upstream", line.upstream_);
    return target;
}

/// The addresses given and those of all entries that the fleet knows.
auto addressesToAsk(Session &session) -> std::set<std::string>
{
    const auto &given = session.caller_.entries();
    auto addresses = std::set<std::string>(given.begin(), given.end());
    const auto status = session.caller_.get("/v1/admin/status");
    const auto document = status ? parseJson(status->body_, "answer") : Result<Json>(Json());
    if (!document || !document->is_object())
        return addresses;
    for (const auto &entry : document->value("entries", Json::array())) {
        const auto phase = entry.is_object() ? entry.value("phase", "") : std::string("lost");
        if (phase != "lost")
            addresses.insert(entry.value("address", given.front()));
    }
    return addresses;
}

auto eventsOf(Session &session, const std::string &address, const std::string &target)
    -> Result<std::vector<RecordedEvent>>
{
    const auto response = session.caller_.getFrom(address, target);
    if (!response)
        return response.failure();
    if (response->status_ != okStatus)
        return Failure{Error::UpstreamRefused, address + ": " + problemText(*response)};
    const auto answer = decodeText<EventsAnswer>(response->body_, "answer");
    if (!answer)
        return answer.failure();
    return answer->events_;
}

} // namespace

auto runTimeline(Session &session) -> ExitCode
{
    const auto target = targetOf(session);
    auto processes = std::vector<std::vector<RecordedEvent>>{};
    for (const auto &address : addressesToAsk(session)) {
        const auto events = eventsOf(session, address, target);
        if (events)
            processes.push_back(*events);
        else
            session.console_.note("left out: " + events.failure().message_);
    }
    for (const auto &event : mergeTimelines(processes)) {
        session.console_.text(renderEvent(event));
        session.console_.json(encode(event));
    }
    return processes.empty() ? ExitCode::Unreachable : ExitCode::Ok;
}

} // namespace lycheereach
