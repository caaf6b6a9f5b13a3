/// \file
/// \brief One server-sent event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// One server-sent event.
struct ServerSentEvent
{
    std::string event_;
    std::string data_;
    /// Nothing when there is no `id` or it is no number.
    std::optional<std::uint64_t> id_;

    /// The event as text, with \a number as its id.
    [[nodiscard]] auto text(std::optional<std::uint64_t> number) const -> std::string;

    auto operator==(const ServerSentEvent &) const -> bool = default;
};

/// The length of the first whole event in \a text with the empty line that ends it; 0 when there is
/// none yet.
auto firstEventLength(std::string_view text) -> std::size_t;
/// Reads one event; lines of comments and unknown fields are left out.
auto parseServerSentEvent(std::string_view text) -> ServerSentEvent;

} // namespace lycheereach
