/// \file
/// \brief The bytes of answers in progress that the receivers of all calls of a client hold.
#pragma once

#include <algorithm>
#include <cstddef>

namespace lycheereach {

/// The bytes of answers in progress that the receivers of all calls of a client hold.
struct HeldBytes
{
    /// HttpClientSettings::heldBytesLimit_.
    std::size_t limit_ = 0;
    std::size_t total_ = 0;
    /// Calls in progress.
    std::size_t calls_ = 0;

    [[nodiscard]] auto isExceeded() const -> bool { return total_ > limit_; }
    /// What each call may hold while the limit is exceeded.
    [[nodiscard]] auto share() const -> std::size_t
    {
        return limit_ / std::max(calls_, std::size_t{1});
    }
};

} // namespace lycheereach
