/// \file
/// \brief Parses and writes server-sent events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// The fields of one server-sent event.
struct ServerSentEvent
{
    /// The event type of the `event` line; empty when it is missing.
    std::string type_;
    /// The `data` lines, joined by newlines.
    std::string data_;
    /// Not set when `id` is missing or not a number.
    std::optional<std::uint64_t> id_;

    /// The event in wire format, with \a id in place of id_.
    [[nodiscard]] auto serialize(std::optional<std::uint64_t> id) const -> std::string;

    auto operator==(const ServerSentEvent &) const -> bool = default;
};

/// The length of the first complete event in \a text, including the empty line that ends it; 0 when
/// there is none yet.
auto firstEventLength(std::string_view text) -> std::size_t;
/// Whether \a text, up to an empty line, has a field or a comment of a server-sent event. Bytes
/// that an upstream writes by mistake, such as the head of another response, have none.
auto isServerSentEvent(std::string_view text) -> bool;
/// Parses one event; comment lines and unknown fields are skipped.
auto parseServerSentEvent(std::string_view text) -> ServerSentEvent;

} // namespace lycheereach
