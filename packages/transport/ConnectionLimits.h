/// \file
/// \brief What the connections of clients may take of a process.
#pragma once

#include <cstddef>

namespace lycheereach {

/// What the connections of clients may take of a process.
struct ConnectionLimits
{
    /// Connections open at the same time.
    std::size_t connections_ = 4000;
    /// The bytes of requests and responses that all connections hold together.
    std::size_t heldBytes_ = std::size_t{64} * 1024 * 1024;

    auto operator==(const ConnectionLimits &) const -> bool = default;
};

} // namespace lycheereach
