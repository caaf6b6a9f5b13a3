/// \file
/// \brief Parsing and constant-time comparison of access keys.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Whether \a given equals \a expected. The running time doesn't depend on where they differ, which
/// would help to guess the key.
inline auto equalKeys(std::string_view given, std::string_view expected) -> bool
{
    auto difference = static_cast<unsigned>(given.size() != expected.size());
    for (auto position = std::size_t{0}; position < given.size(); ++position) {
        const auto expectedCharacter
            = expected.empty() ? '\0' : expected[position % expected.size()];
        difference |= static_cast<unsigned>(given[position] ^ expectedCharacter);
    }
    return difference == 0;
}

/// The key in the value of an `Authorization: Bearer KEY` header; empty for other schemes.
inline auto bearerToken(std::string_view authorization) -> std::string_view
{
    constexpr auto scheme = std::string_view("Bearer ");
    if (!authorization.starts_with(scheme))
        return {};
    return authorization.substr(scheme.size());
}

} // namespace lycheereach
