#include "transport/HttpHeaders.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lycheereach {

namespace {

auto sameLetter(char left, char right) -> bool
{
    return std::tolower(static_cast<unsigned char>(left))
        == std::tolower(static_cast<unsigned char>(right));
}

} // namespace

auto isSameFieldName(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), sameLetter);
}

HttpHeaders::HttpHeaders(std::initializer_list<HttpHeader> headers)
    : headers_(headers)
{ }

auto HttpHeaders::add(std::string name, std::string value) -> void
{
    headers_.push_back(HttpHeader{std::move(name), std::move(value)});
}

auto HttpHeaders::find(std::string_view name) const -> std::optional<std::string>
{
    const auto found
        = std::find_if(headers_.begin(), headers_.end(), [&](const HttpHeader &header) {
              return isSameFieldName(header.name_, name);
          });
    if (found == headers_.end())
        return std::nullopt;
    return found->value_;
}

auto HttpHeaders::value(std::string_view name, std::string fallback) const -> std::string
{
    return find(name).value_or(std::move(fallback));
}

} // namespace lycheereach
