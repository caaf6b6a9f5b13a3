/// \file
/// \brief An HTTP response.
#pragma once

#include "transport/HttpHeaders.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// A whole HTTP response.
struct HttpResponse
{
    std::uint16_t status_ = 0;
    HttpHeaders headers_;
    std::string body_;

    auto operator==(const HttpResponse &) const -> bool = default;
};

} // namespace lycheereach
