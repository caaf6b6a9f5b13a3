/// \file
/// \brief The HTTP API that upstreams announce themselves to.
#pragma once

#include "base/Event.h"
#include "transport/HttpRequest.h"
#include "transport/HttpResponse.h"

#include <optional>
#include <string>

namespace lycheereach {

class ControlService;
class LeaseholderService;
struct Announcement;

/// Serves `POST /v1/announce`. Thread-safe.
class UpstreamApi
{
public:
    /// Without \a upstreamKey announcements need no key.
    UpstreamApi(ControlService &control, LeaseholderService &leaseholder,
                std::optional<std::string> upstreamKey, EventSink eventSink);

    auto announce(const HttpRequest &request) -> HttpResponse;

private:
    /// What is wrong with \a announcement; empty when it is valid.
    auto validationError(const Announcement &announcement) const -> std::string;
    auto refuseAnnouncement(const Failure &failure) -> HttpResponse;

    ControlService &control_;
    LeaseholderService &leaseholder_;
    std::optional<std::string> upstreamKey_;
    EventSink eventSink_;
};

} // namespace lycheereach
