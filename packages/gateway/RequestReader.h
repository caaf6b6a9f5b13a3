/// \file
/// \brief Reads callers' requests.
#pragma once

#include "base/Result.h"
#include "gateway/CallerRequest.h"
#include "state/Declaration.h"

namespace lycheereach {

struct HttpRequest;

/// Reads \a request under \a declaration; \a id names it when it names itself not. The failure
/// says what is wrong with the request, which has not run.
auto readCallerRequest(const HttpRequest &request, const Declaration &declaration, RequestId id,
                       MonotonicTime now) -> Result<CallerRequest>;

} // namespace lycheereach
