/// \file
/// \brief Compares keys.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// Whether \a shown is \a expected, in a time that does not tell where they differ.
inline auto sameKey(std::string_view shown, std::string_view expected) -> bool
{
    auto difference = static_cast<unsigned>(shown.size() != expected.size());
    for (auto position = std::size_t{0}; position < shown.size(); ++position) {
        const auto other = expected.empty() ? '\0' : expected[position % expected.size()];
        difference |= static_cast<unsigned>(shown[position] ^ other);
    }
    return difference == 0;
}

/// The key of an `Authorization: Bearer KEY` header; empty for any other.
inline auto bearerKey(std::string_view authorization) -> std::string_view
{
    constexpr auto scheme = std::string_view("Bearer ");
    if (!authorization.starts_with(scheme))
        return {};
    return authorization.substr(scheme.size());
}

} // namespace lycheereach
