#include "groups/LoadRate.h"

#include <algorithm>
#include <chrono>

namespace lycheereach {

namespace {

/// Loads that may begin at once after a pause.
constexpr auto burst = 3.0;
/// The part of the store's rate that is used, since an order may be carried out late.
constexpr auto usedPart = 0.9;

} // namespace

auto LoadRate::setRate(double loadsPerSecond) -> void
{
    perSecond_ = usedPart * loadsPerSecond;
}

auto LoadRate::take(MonotonicTime now) -> bool
{
    if (perSecond_ <= 0)
        return true;
    const auto passed = std::chrono::duration<double>(now - refilledAt_).count();
    tokens_ = std::min(burst, tokens_ + passed * perSecond_);
    refilledAt_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace lycheereach
