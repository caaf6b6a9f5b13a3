/// \file
/// \brief Command: no longer refuse requests with this fingerprint.
#pragma once

#include "base/JsonCodec.h"

#include <string>

namespace lycheereach {

/// Command: no longer refuse requests with this fingerprint, since none has come for a while.
struct UnblockRequest
{
    std::string fingerprint_;

    auto operator==(const UnblockRequest &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("fingerprint", &UnblockRequest::fingerprint_)};
    }
};

} // namespace lycheereach
