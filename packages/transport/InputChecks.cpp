#include "transport/InputChecks.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>

#include <asio/ip/address.hpp>

namespace lycheereach {

namespace {

auto isPort(std::string_view text) -> bool
{
    auto port = std::uint16_t{0};
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, port);
    return !text.empty() && error == std::errc() && rest == end && port != 0;
}

} // namespace

auto isIpAndPort(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1)))
        return false;
    auto ip = text.substr(0, colon);
    const auto isBracketed = ip.starts_with('[') && ip.ends_with(']');
    if (isBracketed)
        ip = ip.substr(1, ip.size() - 2);
    // An embedded NUL would end the text that the parser sees.
    constexpr auto maxIpLength = std::size_t{64};
    if (!isVisibleAscii(ip, maxIpLength))
        return false;
    auto error = std::error_code{};
    const auto address = asio::ip::make_address(std::string(ip), error);
    return !error && address.is_v6() == isBracketed;
}

auto isVisibleAscii(std::string_view text, std::size_t maxLength) -> bool
{
    const auto isVisible = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && text.size() <= maxLength
        && std::all_of(text.begin(), text.end(), isVisible);
}

} // namespace lycheereach
