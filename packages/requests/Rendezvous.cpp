#include "requests/Rendezvous.h"

#include <algorithm>
#include <cstdint>

namespace lycheereach {

namespace {

/// The 64-bit FNV-1a hash.
auto fnv1a(std::string_view text, std::uint64_t state) -> std::uint64_t
{
    constexpr auto prime = 0x100000001b3U;
    for (const auto character : text)
        state = (state ^ static_cast<unsigned char>(character)) * prime;
    return state;
}

constexpr auto offsetBasis = 0xcbf29ce484222325U;

/// The finalizer of SplitMix64.
auto finalizeHash(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

auto rendezvousPick(std::string_view key, const std::vector<std::string> &names)
    -> std::optional<std::size_t>
{
    const auto keyHash = finalizeHash(fnv1a(key, offsetBasis));
    auto best = std::optional<std::size_t>{};
    auto bestScore = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < names.size(); ++i) {
        const auto score = finalizeHash(fnv1a(names[i], keyHash));
        if (best && score <= bestScore)
            continue;
        best = i;
        bestScore = score;
    }
    return best;
}

auto rendezvousPosition(std::string_view key, const std::vector<std::string> &names,
                        std::string_view name) -> std::size_t
{
    const auto keyHash = finalizeHash(fnv1a(key, offsetBasis));
    const auto nameScore = finalizeHash(fnv1a(name, keyHash));
    const auto scoresHigher
        = [&](const std::string &other) { return finalizeHash(fnv1a(other, keyHash)) > nameScore; };
    return static_cast<std::size_t>(std::count_if(names.begin(), names.end(), scoresHigher));
}

} // namespace lycheereach
