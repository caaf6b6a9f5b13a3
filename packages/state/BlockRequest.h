/// \file
/// \brief Command: refuse requests with this fingerprint, which kill upstreams.
#pragma once

#include "base/JsonCodec.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lycheereach {

/// Command: refuse requests with this fingerprint, which kill upstreams.
struct BlockRequest
{
    /// Fingerprints blocked at once; when there are more, the oldest is no longer blocked.
    static constexpr auto maxBlocked = std::size_t{1000};

    /// Of a whole request or of one part of its prompt; see requests/RequestFingerprint.h.
    std::string fingerprint_;
    std::int64_t atMs_ = 0;

    auto operator==(const BlockRequest &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("fingerprint", &BlockRequest::fingerprint_),
                          field("atMs", &BlockRequest::atMs_)};
    }
};

} // namespace lycheereach
