#include "requests/Rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace lycheereach {

namespace {

/// FNV-1a.
auto hash(std::string_view text, std::uint64_t state) -> std::uint64_t
{
    constexpr auto prime = 0x100000001b3U;
    for (const auto letter : text)
        state = (state ^ static_cast<unsigned char>(letter)) * prime;
    return state;
}

constexpr auto offsetBasis = 0xcbf29ce484222325U;

/// The finalizer of SplitMix64.
auto mix(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

auto rendezvousPick(std::string_view key, const std::vector<std::string> &names)
    -> std::optional<std::size_t>
{
    const auto keyHash = mix(hash(key, offsetBasis));
    auto best = std::optional<std::size_t>{};
    auto bestScore = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < names.size(); ++i) {
        const auto score = mix(hash(names[i], keyHash));
        if (best && score <= bestScore)
            continue;
        best = i;
        bestScore = score;
    }
    return best;
}

auto rendezvousRank(std::string_view key, const std::vector<std::string> &names,
                    std::string_view name) -> std::size_t
{
    const auto keyHash = mix(hash(key, offsetBasis));
    const auto own = mix(hash(name, keyHash));
    const auto isHigher = [&](const std::string &other) { return mix(hash(other, keyHash)) > own; };
    return static_cast<std::size_t>(std::count_if(names.begin(), names.end(), isHigher));
}

} // namespace lycheereach
