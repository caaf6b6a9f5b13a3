/// \file
/// \brief The settings of an HTTP client.
#pragma once

#include <cstddef>

namespace lycheereach {

struct HttpClientSettings
{
    /// The bytes of answers in progress that the receivers may hold together. Beyond it the calls
    /// that hold most are ended, so that answers without end don't use up the memory of all others.
    /// In one turn of the client it may be exceeded by as much.
    std::size_t heldBytesLimit_ = std::size_t{64} * 1024 * 1024;
};

} // namespace lycheereach
