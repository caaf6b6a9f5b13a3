/// \file
/// \brief Peer messages between entries and control processes about what crashes upstreams.
#pragma once

#include "base/JsonCodec.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lycheereach::crash_message {

/// Entry to control: the fingerprints in flight when an upstream crashed, as a CrashReport.
constexpr auto report = "crash.report";
/// Entry to control: a list of suspected or blocked fingerprints with which a request ended well.
constexpr auto served = "crash.served";
/// Entry to control or to other entries: a list of blocked fingerprints with which requests are
/// still refused.
constexpr auto refused = "crash.refused";
/// Control to entry: a list of fingerprints that are suspected.
constexpr auto suspects = "crash.suspects";

/// Further fingerprints of a message are not read.
constexpr auto maxFingerprints = std::size_t{512};

/// The texts of the list \a params, or the only text that it is, without those that are too long
/// for a fingerprint; empty when it is neither.
auto readFingerprints(const Json &params) -> std::vector<std::string>;

} // namespace lycheereach::crash_message
