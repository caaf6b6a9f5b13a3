/// \file
/// \brief Finds blocked fingerprints for which no request has come for a while.
#pragma once

#include "base/Time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// Tells which blocked fingerprints may be forgotten: those for which no entry has refused a
/// request for a while. Not thread-safe.
class BlockExpiry
{
public:
    /// Takes over the fingerprints that the replicated state has as blocked. The time of one that
    /// is new here counts from \a now, so that a restart forgets nothing too early.
    auto update(const std::set<std::string> &blocked, MonotonicTime now) -> void;
    /// Records that a request was refused for \a fingerprint.
    auto recordRefusal(const std::string &fingerprint, MonotonicTime now) -> void;
    /// The fingerprints to unblock. Names one that stays blocked again after a while.
    auto takeExpired(MonotonicTime now) -> std::vector<std::string>;

    /// Several reports of entries about refusals fit into it.
    static constexpr auto lifetime = std::chrono::seconds(60);
    /// At most this often an entry tells the others of refusals for a fingerprint.
    static constexpr auto refusalReportInterval = std::chrono::seconds(5);

private:
    /// When a request was last refused for a fingerprint, or when it was first seen.
    std::map<std::string, MonotonicTime> refusedAt_;
};

} // namespace lycheereach
