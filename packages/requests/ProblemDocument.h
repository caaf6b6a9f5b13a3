/// \file
/// \brief Errors as `application/problem+json`.
#pragma once

#include "base/Failure.h"
#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// An error answer to a caller.
struct ProblemDocument
{
    std::uint16_t status_ = 0;
    std::error_code code_;
    std::string detail_;
    Verdict verdict_ = Verdict::NotRun;
    RequestId request_;
    /// When trying again may succeed, for `Retry-After` and `X-Retry-After-Ms`.
    std::optional<Duration> retryAfter_;

    /// The document as JSON text.
    [[nodiscard]] auto body() const -> std::string;
    /// The document as an `error` event within a stream.
    [[nodiscard]] auto streamEvent() const -> std::string;

    auto operator==(const ProblemDocument &) const -> bool = default;
};

/// The HTTP status that callers get for \a code.
auto statusOf(std::error_code code) -> std::uint16_t;
/// The document for \a failure of \a request.
auto problemFor(const Failure &failure, const RequestId &request) -> ProblemDocument;

} // namespace lycheereach
