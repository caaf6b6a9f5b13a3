/// \file
/// \brief Status and headers of an upstream's response.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// The parts of the status line and headers of an upstream's response that lycheereach uses.
struct ResponseHead
{
    std::uint16_t status_ = 0;
    std::string contentType_;
    /// `X-Request-Id` and `X-Attempt-Id` as the upstream echoed them; empty when missing.
    RequestId request_;
    AttemptId attempt_;
    /// The header `X-Verdict`; not set when it is missing or unknown.
    std::optional<Verdict> verdict_;

    auto operator==(const ResponseHead &) const -> bool = default;
};

} // namespace lycheereach
