/// \file
/// \brief Reading errors of an entry.
#pragma once

#include "base/Verdict.h"

#include <string>

namespace lycheereach {

struct HttpResponse;

/// What an error answer says: status, title and detail of its problem document.
auto problemText(const HttpResponse &response) -> std::string;
/// The verdict of an error answer: by its header, else by its problem document, else MayHaveRun.
auto problemVerdict(const HttpResponse &response) -> Verdict;

} // namespace lycheereach
