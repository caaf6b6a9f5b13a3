#include "gateway/CallerApi.h"

#include "control/ControlService.h"
#include "gateway/JsonResponse.h"
#include "gateway/Metrics.h"
#include "gateway/RequestService.h"
#include "serving/PermitBroker.h"
#include "transport/ConnectionRegistry.h"
#include "transport/PeerNetwork.h"

namespace lycheereach {

namespace {

constexpr auto statusOk = std::uint16_t{200};
constexpr auto statusServiceUnavailable = std::uint16_t{503};

} // namespace

CallerApi::CallerApi(ControlService &control, RequestService &requests, PermitBroker &broker,
                     Metrics &metrics, const PeerNetwork &network,
                     const ConnectionRegistry &connections, Duration entryListTtl)
    : control_(control)
    , requests_(requests)
    , broker_(broker)
    , metrics_(metrics)
    , network_(network)
    , connections_(connections)
    , entryListTtl_(entryListTtl)
{ }

auto CallerApi::handle(const HttpRequest &request) -> std::optional<HttpResponse>
{
    if (request.method_ != "GET")
        return std::nullopt;
    if (request.target_ == "/v1/entries")
        return entries();
    if (request.target_ == "/healthz")
        return HttpResponse{statusOk, {{"Content-Type", "text/plain"}}, "lives\n"};
    if (request.target_ == "/readyz")
        return readiness();
    if (request.target_ == "/metrics")
        return metrics();
    return std::nullopt;
}

auto CallerApi::entries() const -> HttpResponse
{
    auto entryList = Json::array();
    control_.readState([&](const FleetState &state) {
        for (const auto &[id, entry] : state.entries_) {
            if (entry.phase_ != EntryPhase::Live || isZoneOut(state, entry.zone_))
                continue;
            entryList.push_back(Json{{"id", id.text()},
                                     {"address", entry.address_},
                                     {"zone", entry.zone_.text()},
                                     {"weight", 1}});
        }
    });
    return jsonResponse(statusOk,
                        Json{{"entries", entryList}, {"keepMs", toMilliseconds(entryListTtl_)}});
}

auto CallerApi::readiness() const -> HttpResponse
{
    const auto isReady = requests_.isReady();
    return HttpResponse{isReady ? statusOk : statusServiceUnavailable,
                        {{"Content-Type", "text/plain"}},
                        isReady ? "ready\n" : "takes no new requests\n"};
}

auto CallerApi::metrics() const -> HttpResponse
{
    const auto status = control_.status();
    metrics_.setGauge("lycheereach_requests_active", "Requests without a whole answer",
                      static_cast<double>(requests_.active()));
    metrics_.setGauge("lycheereach_requests_waiting", "Requests that wait for a permit",
                      static_cast<double>(broker_.waitingRequests()));
    metrics_.setGauge("lycheereach_state_applied", "The last record of the control log applied",
                      static_cast<double>(status.applied_));
    metrics_.setGauge("lycheereach_state_in_force", "The last record in force everywhere",
                      static_cast<double>(status.inForceIndex_));
    metrics_.setGauge("lycheereach_may_take_work", "Whether the state lease is live",
                      status.mayTakeWork_ ? 1 : 0);
    setPeerGauges();
    setConnectionGauges();
    return HttpResponse{
        statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.serialize()};
}

auto CallerApi::setGauge(const char *name, const char *help, std::uint64_t value) const -> void
{
    metrics_.setGauge(name, help, static_cast<double>(value));
}

auto CallerApi::setPeerGauges() const -> void
{
    const auto counters = network_.counters();
    setGauge("lycheereach_peer_bytes_sent", "Bytes sent to other entries since the start",
             counters.bytesSent_);
    setGauge("lycheereach_peer_bytes_received", "Bytes received from other entries since the start",
             counters.bytesReceived_);
    setGauge("lycheereach_peer_messages_sent", "Messages sent to other entries since the start",
             counters.messagesSent_);
    setGauge("lycheereach_peer_messages_received",
             "Messages received from other entries since the start", counters.messagesReceived_);
    setGauge("lycheereach_peer_messages_dropped", "Messages dropped before a peer since the start",
             counters.messagesDropped_);
}

auto CallerApi::setConnectionGauges() const -> void
{
    const auto counters = connections_.counters();
    setGauge("lycheereach_connections_open", "Connections of clients and of other entries",
             counters.open_);
    setGauge("lycheereach_connections_held_bytes", "Bytes of requests and responses that are held",
             counters.heldBytes_);
    setGauge("lycheereach_requests_too_large", "Requests refused as too large since the start",
             counters.tooLarge_);
    setGauge("lycheereach_requests_no_memory",
             "Requests refused for want of memory since the start", counters.noMemory_);
    setGauge("lycheereach_connections_closed_for_memory",
             "Connections closed to make room for requests or responses since the start",
             counters.closedForMemory_);
    setGauge("lycheereach_connections_closed_for_connections",
             "Connections closed to make room for new ones since the start",
             counters.closedForConnections_);
    setGauge("lycheereach_connections_timed_out",
             "Connections closed because a request was late since the start", counters.timedOut_);
    setGauge("lycheereach_connections_rejected",
             "Connections closed at once for want of room since the start", counters.rejected_);
}

} // namespace lycheereach
