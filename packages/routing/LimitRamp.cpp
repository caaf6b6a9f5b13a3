#include "routing/LimitRamp.h"

#include <algorithm>

namespace lycheereach {

namespace {

/// Weights of a new sample in the usual and in the recent latency.
constexpr auto usualWeight = 0.02;
constexpr auto recentWeight = 0.2;
/// Samples of a group before its usual latency is trusted.
constexpr auto trustedSamples = 8U;
/// A recent latency of so many times the usual one is a jump.
constexpr auto jumpFactor = 2.5;
/// One sample counts as at most so many times the usual latency.
constexpr auto sampleCap = 4.0;

auto blend(Duration average, Duration sample, double weight) -> Duration
{
    const auto mixed = static_cast<double>(average.count()) * (1.0 - weight)
        + static_cast<double>(sample.count()) * weight;
    return Duration(static_cast<Duration::rep>(mixed));
}

auto scaled(Duration duration, double factor) -> Duration
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

auto LimitRamp::configure(std::uint32_t cold, std::uint32_t warm, std::uint32_t completionsPerStep)
    -> void
{
    const auto wasWarm = isWarm();
    cold_ = std::max(cold, 1U);
    warm_ = std::max(warm, cold_);
    completionsPerStep_ = std::max(completionsPerStep, 1U);
    limit_ = wasWarm ? warm_ : std::clamp(limit_, 1U, warm_);
}

auto LimitRamp::restart() -> void
{
    limit_ = cold_;
    completions_ = 0;
    samples_ = 0;
}

auto LimitRamp::skip() -> void
{
    limit_ = warm_;
}

auto LimitRamp::raiseTo(std::uint32_t limit) -> void
{
    limit_ = std::clamp(limit, limit_, warm_);
}

auto LimitRamp::completed(Duration latency) -> bool
{
    ++completions_;
    if (completions_ >= completionsPerStep_) {
        completions_ = 0;
        limit_ = std::min(limit_ + cold_, warm_);
    }
    if (samples_ == 0) {
        usual_ = latency;
        recent_ = latency;
    }
    const auto sample = std::min(latency, std::max(scaled(usual_, sampleCap), Duration(1)));
    ++samples_;
    const auto settling = 1.0 / static_cast<double>(samples_);
    usual_ = blend(usual_, sample, std::max(usualWeight, settling));
    recent_ = blend(recent_, sample, std::max(recentWeight, settling));
    if (samples_ < trustedSamples || recent_ <= scaled(usual_, jumpFactor))
        return false;
    restart();
    return true;
}

auto LimitRamp::overloaded(std::uint32_t inUse) -> void
{
    limit_ = std::clamp(inUse / 2, 1U, limit_);
    completions_ = 0;
}

} // namespace lycheereach
