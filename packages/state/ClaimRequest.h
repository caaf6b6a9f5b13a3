/// \file
/// \brief Command: claim the right to dispatch a request once.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// Command: claim the right to dispatch a request once.
struct ClaimRequest
{
    IdempotencyKey key_;
    std::string digest_;
    EntryId holder_;
    Incarnation holderIncarnation_ = 0;
    RequestId request_;
    std::int64_t atMs_ = 0;

    auto operator==(const ClaimRequest &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("key", &ClaimRequest::key_),
                          field("digest", &ClaimRequest::digest_),
                          field("holder", &ClaimRequest::holder_),
                          field("holderIncarnation", &ClaimRequest::holderIncarnation_),
                          field("request", &ClaimRequest::request_),
                          field("atMs", &ClaimRequest::atMs_)};
    }
};

} // namespace lycheereach
