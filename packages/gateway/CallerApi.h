/// \file
/// \brief The calls that need no key: addresses of entries, health and metrics.
#pragma once

#include "base/Time.h"
#include "transport/HttpRequest.h"
#include "transport/HttpResponse.h"

#include <optional>

namespace lycheereach {

class ControlService;
class Metrics;
class PeerNetwork;
class PermitBroker;
class RequestService;

/// Answers `GET /v1/entries`, `/healthz`, `/readyz` and `/metrics`. Thread-safe.
class CallerApi
{
public:
    CallerApi(ControlService &control, RequestService &requests, PermitBroker &broker,
              Metrics &metrics, const PeerNetwork &network, Duration addressKeep);

    /// The answer; nothing when the call is not one of these.
    auto handle(const HttpRequest &request) -> std::optional<HttpResponse>;

private:
    auto entries() const -> HttpResponse;
    auto readiness() const -> HttpResponse;
    auto metrics() const -> HttpResponse;
    auto setPeerGauges() const -> void;

    ControlService &control_;
    RequestService &requests_;
    PermitBroker &broker_;
    Metrics &metrics_;
    const PeerNetwork &network_;
    Duration addressKeep_;
};

} // namespace lycheereach
