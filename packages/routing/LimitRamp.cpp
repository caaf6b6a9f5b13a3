#include "routing/LimitRamp.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// Weights of a new sample in the moving averages of the baseline and of the recent latency.
constexpr auto baselineWeight = 0.02;
constexpr auto recentWeight = 0.2;
/// Samples needed before the baseline latency is compared with.
constexpr auto minBaselineSamples = 8U;
/// The group counts as cold when the recent latency exceeds the baseline by this factor.
constexpr auto coldLatencyFactor = 2.5;
/// A sample counts as at most this multiple of the baseline latency, to limit outliers.
constexpr auto maxSampleFactor = 4.0;

auto movingAverage(Duration average, Duration sample, double weight) -> Duration
{
    const auto weighted = static_cast<double>(average.count()) * (1.0 - weight)
        + static_cast<double>(sample.count()) * weight;
    return Duration(static_cast<Duration::rep>(weighted));
}

auto scaled(Duration duration, double factor) -> Duration
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

auto LimitRamp::configure(std::uint32_t coldLimit, std::uint32_t warmLimit,
                          std::uint32_t completionsPerStep) -> void
{
    const auto wasWarm = isWarm();
    coldLimit_ = std::max(coldLimit, 1U);
    warmLimit_ = std::max(warmLimit, coldLimit_);
    completionsPerStep_ = std::max(completionsPerStep, 1U);
    limit_ = wasWarm ? warmLimit_ : std::clamp(limit_, 1U, warmLimit_);
}

auto LimitRamp::restart() -> void
{
    limit_ = coldLimit_;
    completions_ = 0;
    sampleCount_ = 0;
}

auto LimitRamp::skipToWarm() -> void
{
    limit_ = warmLimit_;
}

auto LimitRamp::raiseTo(std::uint32_t limit) -> void
{
    limit_ = std::clamp(limit, limit_, warmLimit_);
}

auto LimitRamp::recordCompletion(Duration latency) -> bool
{
    ++completions_;
    if (completions_ >= completionsPerStep_) {
        completions_ = 0;
        limit_ = std::min(limit_ + coldLimit_, warmLimit_);
    }
    if (sampleCount_ == 0) {
        baselineLatency_ = latency;
        recentLatency_ = latency;
    }
    const auto sample
        = std::min(latency, std::max(scaled(baselineLatency_, maxSampleFactor), Duration(1)));
    ++sampleCount_;
    const auto initialWeight = 1.0 / static_cast<double>(sampleCount_);
    baselineLatency_
        = movingAverage(baselineLatency_, sample, std::max(baselineWeight, initialWeight));
    recentLatency_ = movingAverage(recentLatency_, sample, std::max(recentWeight, initialWeight));
    if (sampleCount_ < minBaselineSamples
        || recentLatency_ <= scaled(baselineLatency_, coldLatencyFactor))
        return false;
    restart();
    return true;
}

auto LimitRamp::recordOverload(std::uint32_t inUse) -> void
{
    limit_ = std::clamp(inUse / 2, 1U, limit_);
    completions_ = 0;
}

} // namespace lycheereach
