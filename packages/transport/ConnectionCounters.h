/// \file
/// \brief What a ConnectionRegistry has counted.
#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheereach {

/// What a ConnectionRegistry has counted; all but the first four since the start of the process.
struct ConnectionCounters
{
    std::size_t open_ = 0;
    std::size_t heldBytes_ = 0;
    /// Of responses that clients have not taken yet.
    std::size_t unsentBytes_ = 0;
    /// Requests that have been read and have no whole response yet.
    std::size_t openRequests_ = 0;
    /// Requests refused because their head or body was too large.
    std::uint64_t tooLarge_ = 0;
    /// Requests refused for want of memory.
    std::uint64_t noMemory_ = 0;
    /// Connections closed to make room for the requests or responses of others.
    std::uint64_t closedForMemory_ = 0;
    /// Connections closed to make room for new ones.
    std::uint64_t closedForConnections_ = 0;
    /// Connections closed because a request did not arrive in time.
    std::uint64_t timedOut_ = 0;
    /// Connections closed at once because none could be closed in their place.
    std::uint64_t rejected_ = 0;

    auto operator==(const ConnectionCounters &) const -> bool = default;
};

} // namespace lycheereach
