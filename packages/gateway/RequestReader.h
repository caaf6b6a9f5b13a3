/// \file
/// \brief Parses and validates callers' requests.
#pragma once

#include "base/Result.h"
#include "gateway/CallerRequest.h"
#include "state/Declaration.h"

namespace lycheereach {

struct HttpRequest;

/// Parses \a request and validates it against \a declaration. The result has \a id, and its
/// deadline counts from \a now. A failure says what is wrong with the request, which has not run.
auto readCallerRequest(const HttpRequest &request, const Declaration &declaration, RequestId id,
                       MonotonicTime now) -> Result<CallerRequest>;

} // namespace lycheereach
