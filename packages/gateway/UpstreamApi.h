/// \file
/// \brief Takes the announcements of upstreams.
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

/// Answers `POST /v1/announce`. Thread-safe.
class UpstreamApi
{
public:
    /// Without \a key announcements need none.
    UpstreamApi(ControlService &control, LeaseholderService &leaseholder,
                std::optional<std::string> key, EventSink event);

    auto announce(const HttpRequest &request) -> HttpResponse;

private:
    auto problemOf(const Announcement &announcement) const -> std::string;
    auto refuse(const Failure &failure) -> HttpResponse;

    ControlService &control_;
    LeaseholderService &leaseholder_;
    std::optional<std::string> key_;
    EventSink event_;
};

} // namespace lycheereach
