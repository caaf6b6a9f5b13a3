/// \file
/// \brief The limit of a group on its way from cold to warm.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace lycheereach {

/// Raises a limit with completed requests, and lowers it when answers become slow.
class LimitRamp
{
public:
    /// The limits of a cold and of a warm group, and the completions for each step between them.
    auto configure(std::uint32_t cold, std::uint32_t warm, std::uint32_t completionsPerStep)
        -> void;
    /// Starts again at the cold limit.
    auto restart() -> void;
    /// Goes to the warm limit.
    auto skip() -> void;
    /// Goes up to \a limit, which was seen to be carried.
    auto raiseTo(std::uint32_t limit) -> void;
    /// A request completed with its first byte after \a latency; true when the group became slow
    /// so suddenly that it is taken for cold.
    auto completed(Duration latency) -> bool;
    /// The upstream refused a request while \a inUse were running.
    auto overloaded(std::uint32_t inUse) -> void;

    [[nodiscard]] auto limit() const -> std::uint32_t { return limit_; }
    [[nodiscard]] auto isWarm() const -> bool { return limit_ >= warm_; }
    /// The usual latency; zero until it is known.
    [[nodiscard]] auto usualLatency() const -> Duration { return usual_; }
    /// The latency of late.
    [[nodiscard]] auto recentLatency() const -> Duration { return recent_; }

private:
    std::uint32_t cold_ = 1;
    std::uint32_t warm_ = 1;
    std::uint32_t completionsPerStep_ = 1;
    std::uint32_t limit_ = 1;
    std::uint32_t completions_ = 0;
    std::uint32_t samples_ = 0;
    Duration usual_{};
    Duration recent_{};
};

} // namespace lycheereach
