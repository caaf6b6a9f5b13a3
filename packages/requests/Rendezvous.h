/// \file
/// \brief Rendezvous hashing.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

/// The index of the name with the highest hash together with \a key; nothing without names. Every
/// process comes to the same one, and a change of the names moves only the keys of what changed.
auto rendezvousPick(std::string_view key, const std::vector<std::string> &names)
    -> std::optional<std::size_t>;

/// How many of \a names have a higher hash together with \a key than \a name.
auto rendezvousRank(std::string_view key, const std::vector<std::string> &names,
                    std::string_view name) -> std::size_t;

} // namespace lycheereach
