/// \file
/// \brief Fingerprints of what may crash an upstream: a whole request, or one part of its prompt.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

/// The fingerprint of a whole request: what the caller sends again when it repeats the request.
auto requestFingerprint(std::string_view caller, std::string_view target, std::string_view body)
    -> std::string;
/// The fingerprint of the part \a id of a prompt. Of fixed length, whatever callers send.
auto partFingerprint(std::string_view id) -> std::string;
/// Whether \a fingerprint is one of partFingerprint().
auto isPartFingerprint(std::string_view fingerprint) -> bool;
/// The fingerprints of the parts \a ids, in the order of the prompt and without repetitions. The
/// last part belongs to the request itself and has none; parts behind the first maxPartFingerprints
/// have none either.
auto partFingerprints(const std::vector<std::string_view> &ids) -> std::vector<std::string>;

/// Prompts have a few parts; a longer list is a caller's mistake.
constexpr auto maxPartFingerprints = std::size_t{32};

} // namespace lycheereach
