/// \file
/// \brief HTTP error responses with a problem document as body.
#pragma once

#include "requests/ProblemDocument.h"
#include "transport/HttpResponse.h"

#include <algorithm>
#include <string>

namespace lycheereach {

/// The HTTP response for \a problem; its retry delay goes into headers, in whole seconds rounded up
/// and in milliseconds.
inline auto problemResponse(const ProblemDocument &problem) -> HttpResponse
{
    auto response = HttpResponse{.status_ = problem.status_, .body_ = problem.toJson()};
    response.headers_.add("Content-Type", "application/problem+json");
    if (problem.retryAfter_) {
        const auto milliseconds = std::max<std::int64_t>(1, toMilliseconds(*problem.retryAfter_));
        response.headers_.add("Retry-After", std::to_string((milliseconds + 999) / 1000));
        response.headers_.add("X-Retry-After-Ms", std::to_string(milliseconds));
    }
    return response;
}

/// The HTTP response for \a failure of \a request, with headers for its id and its verdict.
inline auto failureResponse(const Failure &failure, const RequestId &request) -> HttpResponse
{
    auto response = problemResponse(makeProblemDocument(failure, request));
    response.headers_.add("X-Request-Id", request.text());
    response.headers_.add("X-Verdict", std::string(toString(failure.verdict_)));
    return response;
}

} // namespace lycheereach
