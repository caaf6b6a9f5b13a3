#include "transport/PeerContext.h"

#include "transport/PeerFraming.h"

#include <charconv>
#include <utility>

namespace lycheereach {

PeerContext::PeerContext(asio::io_context &io, HybridClock &clock, PeerNetworkSettings settings,
                         PeerNetworkHooks hooks)
    : io_(io)
    , settings_(std::move(settings))
    , clock_(clock)
    , hooks_(std::move(hooks))
{ }

auto PeerContext::frameOf(const PeerMessage &message) -> std::optional<std::string>
{
    auto frame = std::optional<std::string>{};
    gate_.run([&] { frame = encodeFrame(encodeNotification(message, clock_.now())); });
    return frame;
}

auto PeerContext::deliver(const EntryId &from, const StampedMessage &stamped) -> void
{
    gate_.run([&] {
        clock_.observe(stamped.stamp_);
        if (stamped.message_.method_ == heartbeatMethod)
            return;
        ++messagesReceived_;
        if (hooks_.received_)
            hooks_.received_(from, stamped.message_);
    });
}

auto PeerContext::tellKeyRejected(const std::string &remoteAddress) -> void
{
    gate_.run([&] {
        if (hooks_.keyRejected_)
            hooks_.keyRejected_(remoteAddress);
    });
}

auto PeerContext::tellSilent(const EntryId &peer) -> void
{
    gate_.run([&] {
        if (hooks_.silent_)
            hooks_.silent_(peer);
    });
}

auto PeerContext::frameLimit() const -> std::size_t
{
    return settings_.queueLimitBytes_ + envelopeLimit;
}

auto PeerContext::counters() const -> PeerNetworkCounters
{
    return {messagesSent_, bytesSent_, messagesReceived_, bytesReceived_, messagesDropped_};
}

auto printEndpoint(const asio::ip::tcp::endpoint &endpoint) -> std::string
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

auto parseEndpoint(const std::string &address) -> std::optional<asio::ip::tcp::endpoint>
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    auto error = std::error_code{};
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    auto port = std::uint16_t{0};
    const auto *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, port);
}

} // namespace lycheereach
