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
    /// What SO_RCVBUF is set to on each connection; 0 leaves it to the system. Linux doubles it.
    std::size_t receiveBufferBytes_ = 0;

    auto operator==(const ConnectionLimits &) const -> bool = default;
};

/// The limits of a process that may use \a memoryBytes and \a descriptors open files. A quarter of
/// the memory is for requests and responses, a quarter for what has arrived and is not read yet,
/// and an eighth for the connections themselves; half of the descriptors are kept for connections
/// to other processes and for files.
auto connectionLimitsFor(std::size_t memoryBytes, std::size_t descriptors) -> ConnectionLimits;

} // namespace lycheereach
