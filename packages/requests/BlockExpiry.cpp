#include "requests/BlockExpiry.h"

namespace lycheereach {

namespace {

constexpr auto repeatInterval = std::chrono::milliseconds(500);

} // namespace

auto BlockExpiry::update(const std::set<std::string> &blocked, MonotonicTime now) -> void
{
    std::erase_if(refusedAt_, [&](const auto &item) { return !blocked.contains(item.first); });
    for (const auto &fingerprint : blocked)
        refusedAt_.emplace(fingerprint, now);
}

auto BlockExpiry::recordRefusal(const std::string &fingerprint, MonotonicTime now) -> void
{
    if (const auto known = refusedAt_.find(fingerprint); known != refusedAt_.end())
        known->second = now;
}

auto BlockExpiry::takeExpired(MonotonicTime now) -> std::vector<std::string>
{
    auto expired = std::vector<std::string>{};
    for (auto &[fingerprint, refusedAt] : refusedAt_) {
        if (now - refusedAt < lifetime)
            continue;
        refusedAt = now - lifetime + repeatInterval;
        expired.push_back(fingerprint);
    }
    return expired;
}

} // namespace lycheereach
