/// \file
/// \brief The HTTP API without authentication: list of entries, health, readiness and metrics.
#pragma once

#include "base/Time.h"
#include "transport/HttpRequest.h"
#include "transport/HttpResponse.h"

#include <cstdint>
#include <optional>

namespace lycheereach {

class ConnectionRegistry;
class ControlService;
class Metrics;
class PeerNetwork;
class PermitBroker;
class RequestService;

/// Serves `GET /v1/entries`, `/healthz`, `/readyz` and `/metrics`. Thread-safe.
class CallerApi
{
public:
    /// \a entryListTtl is how long callers may cache the list of entries.
    CallerApi(ControlService &control, RequestService &requests, PermitBroker &broker,
              Metrics &metrics, const PeerNetwork &network, const ConnectionRegistry &connections,
              Duration entryListTtl);

    /// The response to \a request; nothing when it is for another API.
    auto handle(const HttpRequest &request) -> std::optional<HttpResponse>;

private:
    auto entries() const -> HttpResponse;
    auto readiness() const -> HttpResponse;
    auto metrics() const -> HttpResponse;
    auto setGauge(const char *name, const char *help, std::uint64_t value) const -> void;
    auto setPeerGauges() const -> void;
    auto setConnectionGauges() const -> void;

    ControlService &control_;
    RequestService &requests_;
    PermitBroker &broker_;
    Metrics &metrics_;
    const PeerNetwork &network_;
    const ConnectionRegistry &connections_;
    Duration entryListTtl_;
};

} // namespace lycheereach
