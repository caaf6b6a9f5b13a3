/// \file
/// \brief Remembers with which fingerprints a request ended well recently.
#pragma once

#include "base/Time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace lycheereach {

/// The fingerprints with which a request ended well recently: they crash no upstream. Bounded,
/// whatever callers send: the oldest is forgotten first. Not thread-safe.
class ProvenFingerprints
{
public:
    /// Records that a request with \a fingerprint ended well.
    auto prove(const std::string &fingerprint, MonotonicTime now) -> void;
    [[nodiscard]] auto contains(const std::string &fingerprint, MonotonicTime now) const -> bool;

    static constexpr auto lifetime = std::chrono::seconds(60);
    /// A stream that has gone on for this long after its first event has not crashed its upstream.
    static constexpr auto soundStreamTime = std::chrono::milliseconds(500);
    static constexpr auto maxCount = std::size_t{4096};

private:
    /// When a request with a fingerprint last ended well, and the same by time.
    std::map<std::string, MonotonicTime> provenAt_;
    std::set<std::pair<MonotonicTime, std::string>> provenByTime_;
};

} // namespace lycheereach
