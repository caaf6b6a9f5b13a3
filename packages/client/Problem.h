/// \file
/// \brief Parsing of the problem documents in error responses.
#pragma once

#include "base/Verdict.h"

#include <string>

namespace lycheereach {

struct HttpResponse;

/// Status of an error response with title and detail of its problem document.
auto problemText(const HttpResponse &response) -> std::string;
/// The verdict of an error response: from its header, else from its problem document, else
/// MayHaveRun.
auto problemVerdict(const HttpResponse &response) -> Verdict;

} // namespace lycheereach
