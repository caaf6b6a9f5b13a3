/// \file
/// \brief The grammar of the lines of an HTTP/1.1 response: RFC 9110, section 5, and RFC 9112.
#pragma once

#include "transport/HttpHeaders.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lycheereach {

/// The first line of a response.
struct HttpStatusLine
{
    /// 0 for HTTP/1.0, 1 for HTTP/1.1.
    int minorVersion_ = 1;
    std::uint16_t status_ = 0;

    auto operator==(const HttpStatusLine &) const -> bool = default;
};

/// The text of a line of a head before its CRLF, or before its LF alone; nothing if it has neither.
auto withoutLineEnd(std::string_view line) -> std::optional<std::string_view>;

/// Whether \a text has only the bytes that the value of a field may have.
auto isFieldValue(std::string_view text) -> bool;

/// Parses `HTTP/1.1 200 OK`; nothing unless the version is 1.0 or 1.1 and the status three digits
/// from 100 to 599.
auto parseStatusLine(std::string_view text) -> std::optional<HttpStatusLine>;

/// Parses `Name: value`; nothing unless the name is a token that ends at the colon.
auto parseFieldLine(std::string_view text) -> std::optional<HttpHeader>;

/// The elements of all fields of that name, each a comma-separated list, without empty ones.
auto listElements(const HttpHeaders &headers, std::string_view name)
    -> std::vector<std::string_view>;

/// Parses decimal digits; nothing for anything else or more than fits.
auto parseLength(std::string_view text) -> std::optional<std::uint64_t>;

/// Parses the line before a chunk, `1a;extension=value`; nothing unless it is well-formed.
auto parseChunkSize(std::string_view text) -> std::optional<std::uint64_t>;

} // namespace lycheereach
