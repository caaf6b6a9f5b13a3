/// \file
/// \brief Command: refuse requests with this fingerprint, which kill upstreams.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// Command: refuse requests with this fingerprint, which kill upstreams.
struct BlockRequest
{
    /// Of method, route and body.
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
