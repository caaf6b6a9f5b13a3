#include "client/ClientHooks.h"

#include <iomanip>
#include <sstream>

namespace lycheereach {

auto randomId(const ClientHooks &hooks, const char *prefix) -> std::string
{
    constexpr auto hexDigitsPerWord = 16;
    auto text = std::ostringstream{};
    text << prefix << std::hex << std::setfill('0');
    text << std::setw(hexDigitsPerWord) << hooks.random_() << std::setw(hexDigitsPerWord)
         << hooks.random_();
    return text.str();
}

} // namespace lycheereach
