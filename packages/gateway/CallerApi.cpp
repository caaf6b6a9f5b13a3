#include "gateway/CallerApi.h"

#include "control/ControlService.h"
#include "gateway/JsonResponse.h"
#include "gateway/Metrics.h"
#include "gateway/RequestService.h"
#include "serving/PermitBroker.h"
#include "transport/PeerNetwork.h"

namespace lycheereach {

namespace {

constexpr auto ok = std::uint16_t{200};
constexpr auto unavailable = std::uint16_t{503};

} // namespace

CallerApi::CallerApi(ControlService &control, RequestService &requests, PermitBroker &broker,
                     Metrics &metrics, const PeerNetwork &network, Duration addressKeep)
    : control_(control)
    , requests_(requests)
    , broker_(broker)
    , metrics_(metrics)
    , network_(network)
    , addressKeep_(addressKeep)
{ }

auto CallerApi::handle(const HttpRequest &request) -> std::optional<HttpResponse>
{
    if (request.method_ != "GET")
        return std::nullopt;
    if (request.target_ == "/v1/entries")
        return entries();
    if (request.target_ == "/healthz")
        return HttpResponse{ok, {{"Content-Type", "text/plain"}}, "lives\n"};
    if (request.target_ == "/readyz")
        return readiness();
    if (request.target_ == "/metrics")
        return metrics();
    return std::nullopt;
}

auto CallerApi::entries() const -> HttpResponse
{
    auto list = Json::array();
    control_.readState([&](const FleetState &state) {
        for (const auto &[id, entry] : state.entries_) {
            if (entry.phase_ != EntryPhase::Live || isZoneOut(state, entry.zone_))
                continue;
            list.push_back(Json{{"id", id.text()},
                                {"address", entry.address_},
                                {"zone", entry.zone_.text()},
                                {"weight", 1}});
        }
    });
    return jsonResponse(ok, Json{{"entries", list}, {"keepMs", toMilliseconds(addressKeep_)}});
}

auto CallerApi::readiness() const -> HttpResponse
{
    const auto ready = requests_.takesWork();
    return HttpResponse{ready ? ok : unavailable,
                        {{"Content-Type", "text/plain"}},
                        ready ? "ready\n" : "takes no new requests\n"};
}

auto CallerApi::metrics() const -> HttpResponse
{
    const auto status = control_.status();
    metrics_.set("lycheereach_requests_active", "Requests without a whole answer",
                 static_cast<double>(requests_.active()));
    metrics_.set("lycheereach_requests_waiting", "Requests that wait for a permit",
                 static_cast<double>(broker_.waitingRequests()));
    metrics_.set("lycheereach_state_applied", "The last record of the control log applied",
                 static_cast<double>(status.applied_));
    metrics_.set("lycheereach_state_in_force", "The last record in force everywhere",
                 static_cast<double>(status.inForceIndex_));
    metrics_.set("lycheereach_may_take_work", "Whether the state lease is live",
                 status.mayTakeWork_ ? 1 : 0);
    setPeerGauges();
    return HttpResponse{ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text()};
}

auto CallerApi::setPeerGauges() const -> void
{
    const auto counters = network_.counters();
    const auto set = [this](const char *name, const char *help, std::uint64_t value) {
        metrics_.set(name, help, static_cast<double>(value));
    };
    set("lycheereach_peer_bytes_sent", "Bytes sent to other entries since the start",
        counters.bytesSent_);
    set("lycheereach_peer_bytes_received", "Bytes received from other entries since the start",
        counters.bytesReceived_);
    set("lycheereach_peer_messages_sent", "Messages sent to other entries since the start",
        counters.messagesSent_);
    set("lycheereach_peer_messages_received",
        "Messages received from other entries since the start", counters.messagesReceived_);
    set("lycheereach_peer_messages_dropped", "Messages dropped before a peer since the start",
        counters.messagesDropped_);
}

} // namespace lycheereach
