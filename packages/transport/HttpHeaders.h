/// \file
/// \brief The header fields of an HTTP message.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheereach {

/// One header field.
struct HttpHeader
{
    std::string name_;
    std::string value_;

    auto operator==(const HttpHeader &) const -> bool = default;
};

/// Whether two names of fields, or two tokens, are the same without regard to case.
auto isSameFieldName(std::string_view left, std::string_view right) -> bool;

/// Header fields in order; names compare without regard to case.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> headers);

    auto add(std::string name, std::string value) -> void;
    /// The first field of that name.
    [[nodiscard]] auto find(std::string_view name) const -> std::optional<std::string>;
    /// The first field of that name, or \a fallback.
    [[nodiscard]] auto value(std::string_view name, std::string fallback = {}) const -> std::string;
    [[nodiscard]] auto all() const -> const std::vector<HttpHeader> & { return headers_; }

    auto operator==(const HttpHeaders &) const -> bool = default;

private:
    std::vector<HttpHeader> headers_;
};

} // namespace lycheereach
