/// \file
/// \brief Feeds the bytes of an answer to HttpAnswerReader as a client does.
#pragma once

#include "transport/HttpResponse.h"

#include <optional>
#include <string>

namespace lycheereach {

/// The answer in \a bytes, behind which the connection ends; nothing if they are no whole answer.
/// The body arrives in parts of \a partBytes.
auto readAnswer(const std::string &bytes, bool answersHead = false, std::size_t partBytes = 1)
    -> std::optional<HttpResponse>;

} // namespace lycheereach
