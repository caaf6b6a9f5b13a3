/// \file
/// \brief An HTTP request.
#pragma once

#include "transport/HttpBody.h"
#include "transport/HttpHeaders.h"

#include <string>

namespace lycheereach {

/// A whole HTTP request.
struct HttpRequest
{
    std::string method_;
    /// Path and query.
    std::string target_;
    HttpHeaders headers_;
    HttpBody body_;

    auto operator==(const HttpRequest &) const -> bool = default;
};

} // namespace lycheereach
