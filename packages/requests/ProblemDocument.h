/// \file
/// \brief Error responses as `application/problem+json` (RFC 9457).
#pragma once

#include "base/Failure.h"
#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lycheereach {

/// An error response to a caller.
struct ProblemDocument
{
    std::uint16_t status_ = 0;
    std::error_code code_;
    std::string detail_;
    Verdict verdict_ = Verdict::NotRun;
    RequestId request_;
    /// The time after which a retry may succeed, for `Retry-After` and `X-Retry-After-Ms`.
    std::optional<Duration> retryAfter_;

    /// The document as JSON text.
    [[nodiscard]] auto toJson() const -> std::string;
    /// The document as a server-sent `error` event, for a stream that has begun.
    [[nodiscard]] auto toServerSentEvent() const -> std::string;

    auto operator==(const ProblemDocument &) const -> bool = default;
};

/// The HTTP status that callers get for \a code.
auto httpStatusOf(std::error_code code) -> std::uint16_t;
/// The document that reports \a failure of \a request.
auto makeProblemDocument(const Failure &failure, const RequestId &request) -> ProblemDocument;

} // namespace lycheereach
