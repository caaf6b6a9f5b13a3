/// \file
/// \brief Digests of requests.
#pragma once

#include <string>
#include <string_view>

namespace lycheereach {

/// SHA-256 of \a text in hexadecimal.
auto sha256(std::string_view text) -> std::string;
/// SHA-256 in hexadecimal over method, route and body, each with its length in front. Is both the
/// digest of a claim and the fingerprint of a suspect.
auto requestDigest(std::string_view method, std::string_view route, std::string_view body)
    -> std::string;

} // namespace lycheereach
