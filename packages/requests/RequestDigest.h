/// \file
/// \brief SHA-256 digests that identify requests.
#pragma once

#include <string>
#include <string_view>

namespace lycheereach {

/// SHA-256 of \a text in hexadecimal.
auto sha256(std::string_view text) -> std::string;
/// SHA-256 in hexadecimal over method, route and body, each preceded by its length. Identifies a
/// request in its claim and, as the fingerprint, in crash reports.
auto requestDigest(std::string_view method, std::string_view route, std::string_view body)
    -> std::string;

} // namespace lycheereach
