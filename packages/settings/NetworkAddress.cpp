#include "settings/NetworkAddress.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace lycheereach {

namespace {

auto isPort(const std::string &text) -> bool
{
    auto port = std::uint16_t{0};
    const auto *const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, port);
    return error == std::errc() && rest == end && port != 0;
}

auto isIpNumber(const std::string &text) -> bool
{
    auto binary = in_addr{};
    return inet_pton(AF_INET, text.c_str(), &binary) == 1;
}

} // namespace

auto addressProblem(const std::string &address) -> std::string
{
    const auto expected
        = std::string("expected IP:port such as 10.0.0.1:7000, found \"") + address + "\"";
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return expected + "; the port is missing";
    if (!isIpNumber(address.substr(0, colon)))
        return expected + "; the host must be an IPv4 number, not a name";
    if (!isPort(address.substr(colon + 1)))
        return expected + "; the port must be a number from 1 to 65535";
    return "";
}

} // namespace lycheereach
