#include "client/ClientHooks.h"

#include <iomanip>
#include <sstream>

namespace lycheereach {

auto randomId(const ClientHooks &hooks, const char *prefix) -> std::string
{
    constexpr auto digits = 16;
    auto text = std::ostringstream{};
    text << prefix << std::hex << std::setfill('0');
    text << std::setw(digits) << hooks.random_() << std::setw(digits) << hooks.random_();
    return text.str();
}

} // namespace lycheereach
