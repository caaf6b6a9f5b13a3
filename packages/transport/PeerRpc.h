/// \file
/// \brief The JSON-RPC 2.0 notifications between processes of lycheereach.
#pragma once

#include "base/HybridTime.h"
#include "base/Result.h"
#include "transport/PeerMessage.h"

#include <memory>
#include <string>

namespace lycheereach {

/// A message with the stamp of its sending.
struct StampedMessage
{
    HybridTime stamp_;
    PeerMessage message_;

    auto operator==(const StampedMessage &) const -> bool = default;
};

/// The method of a heartbeat, which has no parameters.
constexpr auto heartbeatMethod = "heartbeat";

/// The notification as text.
auto encodeNotification(const PeerMessage &message, const HybridTime &stamp) -> std::string;

/// Reads notifications by the server side of libjsonrpccpp. Not thread-safe.
class PeerRpcReader
{
public:
    PeerRpcReader();
    ~PeerRpcReader();
    PeerRpcReader(const PeerRpcReader &) = delete;
    auto operator=(const PeerRpcReader &) -> PeerRpcReader & = delete;

    /// The message in \a text; fails with Error::InvalidJson.
    auto read(const std::string &text) -> Result<StampedMessage>;

private:
    class Dispatcher;
    std::unique_ptr<Dispatcher> dispatcher_;
};

} // namespace lycheereach
