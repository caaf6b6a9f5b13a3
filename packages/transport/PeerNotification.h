/// \file
/// \brief The notifications between processes of lycheereach, as MessagePack.
#pragma once

#include "base/HybridTime.h"
#include "base/Result.h"
#include "transport/PeerMessage.h"

#include <string>
#include <string_view>

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

/// The notification as an array of four: microseconds and counter of the stamp, method, parameters.
auto encodeNotification(const PeerMessage &message, const HybridTime &stamp) -> std::string;
/// The inverse of encodeNotification(); fails with Error::InvalidJson.
auto decodeNotification(std::string_view bytes) -> Result<StampedMessage>;

} // namespace lycheereach
