#include "gateway/UpstreamApi.h"

#include "control/ControlService.h"
#include "gateway/JsonResponse.h"
#include "gateway/KeyCheck.h"
#include "gateway/ProblemResponse.h"
#include "serving/LeaseholderService.h"
#include "transport/InputChecks.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto statusOk = std::uint16_t{200};
constexpr auto maxCarries = std::uint32_t{100'000};

} // namespace

UpstreamApi::UpstreamApi(ControlService &control, LeaseholderService &leaseholder,
                         std::optional<std::string> upstreamKey, EventSink eventSink)
    : control_(control)
    , leaseholder_(leaseholder)
    , upstreamKey_(std::move(upstreamKey))
    , eventSink_(std::move(eventSink))
{ }

auto UpstreamApi::announce(const HttpRequest &request) -> HttpResponse
{
    if (upstreamKey_ && !equalKeys(request.headers_.value("X-Upstream-Key"), *upstreamKey_)) {
        eventSink_(Event{EventNumber::KeyRejected, {{"reason", "X-Upstream-Key"}}});
        return failureResponse(Failure{Error::Unauthorized, "X-Upstream-Key: is missing or wrong"},
                               RequestId());
    }
    const auto announcement
        = decodeText<Announcement>(request.body_, "announcement", clientJsonValueLimit);
    if (!announcement)
        return refuseAnnouncement(announcement.failure());
    if (const auto error = validationError(*announcement); !error.empty())
        return refuseAnnouncement(Failure{Error::InvalidArgument, "announcement: " + error});
    return jsonResponse(statusOk, encode(leaseholder_.answerAnnouncement(*announcement)));
}

auto UpstreamApi::validationError(const Announcement &announcement) const -> std::string
{
    if (announcement.upstream_.empty())
        return "/upstream: is empty";
    if (announcement.incarnation_ == 0)
        return "/incarnation: must be above 0 and rise with every start";
    if (!isIpAndPort(announcement.address_))
        return "/address: expected IP:port, found '" + announcement.address_ + "'";
    if (announcement.carries_ && *announcement.carries_ > maxCarries)
        return "/carries: at most " + std::to_string(maxCarries);
    const auto isEngine = announcement.kind_ == UpstreamKind::Engine;
    if (isEngine && announcement.fabricDomain_.empty())
        return "/fabricDomain: is missing; an engine names the instances it has a fast fabric with";
    return control_.readState([&](const FleetState &state) -> std::string {
        const auto &declaration = state.declaration_;
        const auto &zones = declaration.zones_;
        if (std::find(zones.begin(), zones.end(), announcement.zone_) == zones.end())
            return "/zone: '" + announcement.zone_.text() + "' is not declared";
        const auto isDeclared = isEngine ? findPool(declaration, announcement.pool_) != nullptr
                                         : findService(declaration, announcement.pool_) != nullptr;
        if (!isDeclared)
            return "/pool: '" + announcement.pool_.text() + "' is not declared";
        return {};
    });
}

auto UpstreamApi::refuseAnnouncement(const Failure &failure) -> HttpResponse
{
    eventSink_(Event{EventNumber::AnnouncementRefused, {{"reason", failure.message_}}});
    return failureResponse(failure, RequestId());
}

} // namespace lycheereach
