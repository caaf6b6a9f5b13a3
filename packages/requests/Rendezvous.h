/// \file
/// \brief Rendezvous hashing.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

/// The index of the name whose hash combined with \a key is highest; not set without names. Every
/// process picks the same name, and adding or removing a name moves only the keys of that name.
auto rendezvousPick(std::string_view key, const std::vector<std::string> &names)
    -> std::optional<std::size_t>;

/// How many of \a names have a higher hash than \a name when combined with \a key.
auto rendezvousPosition(std::string_view key, const std::vector<std::string> &names,
                        std::string_view name) -> std::size_t;

} // namespace lycheereach
