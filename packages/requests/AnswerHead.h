/// \file
/// \brief Status and headers of an upstream's answer.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "base/Verdict.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// What counts of the status line and headers of an upstream's answer.
struct AnswerHead
{
    std::uint16_t status_ = 0;
    std::string contentType_;
    /// `X-Request-Id` and `X-Attempt-Id` as echoed; empty when missing.
    RequestId request_;
    AttemptId attempt_;
    /// `X-Verdict`.
    std::optional<Verdict> verdict_;

    auto operator==(const AnswerHead &) const -> bool = default;
};

} // namespace lycheereach
