/// \file
/// \brief Raises the concurrency limit of a serving group step by step from cold to warm.
#pragma once

#include "base/Time.h"

#include <cstdint>

namespace lycheereach {

/// The concurrency limit of a serving group: rises in steps of the cold limit as requests complete
/// (slow start), and falls when the latency jumps or the upstream is overloaded.
class LimitRamp
{
public:
    /// Sets the limits of a cold and of a warm group, and the completed requests needed for a step.
    auto configure(std::uint32_t coldLimit, std::uint32_t warmLimit,
                   std::uint32_t completionsPerStep) -> void;
    /// Goes back to the cold limit.
    auto restart() -> void;
    /// Goes to the warm limit at once.
    auto skipToWarm() -> void;
    /// Raises the limit to \a limit, a number of requests that the group was seen to run.
    auto raiseTo(std::uint32_t limit) -> void;
    /// Counts a completed request whose first byte came after \a latency. Returns true when the
    /// latency rose so suddenly that the group counts as cold again.
    auto recordCompletion(Duration latency) -> bool;
    /// Lowers the limit to half of \a inUse, the requests in use when the upstream refused one as
    /// overloaded.
    auto recordOverload(std::uint32_t inUse) -> void;

    [[nodiscard]] auto limit() const -> std::uint32_t { return limit_; }
    [[nodiscard]] auto isWarm() const -> bool { return limit_ >= warmLimit_; }
    /// The slow moving average of the latency; zero until there is a sample.
    [[nodiscard]] auto baselineLatency() const -> Duration { return baselineLatency_; }
    /// The fast moving average of the latency.
    [[nodiscard]] auto recentLatency() const -> Duration { return recentLatency_; }

private:
    std::uint32_t coldLimit_ = 1;
    std::uint32_t warmLimit_ = 1;
    std::uint32_t completionsPerStep_ = 1;
    std::uint32_t limit_ = 1;
    /// Since the last step.
    std::uint32_t completions_ = 0;
    /// Latency samples since the last restart.
    std::uint32_t sampleCount_ = 0;
    Duration baselineLatency_{};
    Duration recentLatency_{};
};

} // namespace lycheereach
