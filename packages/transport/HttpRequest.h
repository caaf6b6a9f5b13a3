/// \file
/// \brief An HTTP request.
#pragma once

#include "base/Time.h"
#include "transport/HttpBody.h"
#include "transport/HttpHeaders.h"

#include <optional>
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
    /// When a server had read it; nothing for a request that was made here.
    std::optional<MonotonicTime> receivedAt_;

    auto operator==(const HttpRequest &) const -> bool = default;
};

} // namespace lycheereach
