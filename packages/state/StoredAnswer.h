/// \file
/// \brief The answer of a completed claim.
#pragma once

#include "base/JsonCodec.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// The answer of a completed claim.
struct StoredAnswer
{
    std::uint16_t status_ = 0;
    std::string contentType_;
    std::string body_;

    auto operator==(const StoredAnswer &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("status", &StoredAnswer::status_),
                          optionalField("contentType", &StoredAnswer::contentType_),
                          optionalField("body", &StoredAnswer::body_)};
    }
};

} // namespace lycheereach
