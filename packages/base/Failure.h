/// \file
/// \brief Why an operation failed, and whether its request may have run.
#pragma once

#include "base/ErrorCode.h"
#include "base/Time.h"
#include "base/Verdict.h"

#include <optional>
#include <string>

namespace lycheereach {

/// The failure half of Result.
struct Failure
{
    std::error_code code_;
    /// What was wrong, where, and what to do about it.
    std::string message_;
    Verdict verdict_ = Verdict::NotRun;
    /// When trying again may succeed, where that is known.
    std::optional<Duration> retryAfter_;

    auto operator==(const Failure &) const -> bool = default;
};

} // namespace lycheereach
