/// \file
/// \brief Requests and answers as stand-in engines read and write them.
#pragma once

#include "base/JsonCodec.h"
#include "transport/HttpRequest.h"
#include "transport/HttpResponse.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// FNV-1a in hexadecimal.
auto promptHash(const std::string &prompt) -> std::string;

/// The words of every user message.
auto promptOf(const Json &body) -> std::string;

/// The tokens that a trailing assistant message already holds.
auto tokensSaid(const Json &body) -> std::uint64_t;

auto jsonAnswer(std::uint16_t status, const Json &body) -> HttpResponse;

/// The headers of \a request that its answer repeats.
auto echoed(const HttpRequest &request) -> HttpHeaders;

/// An answer to \a request that it was not run.
auto refusal(const HttpRequest &request, std::uint16_t status, const std::string &detail)
    -> HttpResponse;

/// The number in the header \a name; 0 without it.
auto numberOf(const HttpRequest &request, const char *name) -> std::uint64_t;

} // namespace lycheereach
