/// \file
/// \brief What a client may send in one HTTP request.
#pragma once

#include "base/Time.h"

#include <cstddef>

namespace lycheereach {

/// What a client may send in one HTTP request.
struct HttpInputLimits
{
    /// The request target and all header fields, names and values.
    std::size_t headBytes_ = std::size_t{64} * 1024;
    std::size_t headerFields_ = 128;
    std::size_t bodyBytes_ = std::size_t{8} * 1024 * 1024;
    /// From the first byte of a request to the end of its head.
    Duration headTimeout_ = std::chrono::seconds(40);
    /// The longest silence within the body.
    Duration bodySilenceTimeout_ = std::chrono::seconds(40);
    /// How long a connection may stay open without a request.
    Duration idleTimeout_ = std::chrono::seconds(60);

    auto operator==(const HttpInputLimits &) const -> bool = default;
};

} // namespace lycheereach
