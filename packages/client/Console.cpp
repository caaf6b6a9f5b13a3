#include "client/Console.h"

#include <ostream>

namespace lycheereach {

Console::Console(std::ostream &out, std::ostream &err, bool json)
    : out_(out)
    , err_(err)
    , json_(json)
{ }

auto Console::text(const std::string &line) -> void
{
    if (!json_)
        out_ << line << '\n' << std::flush;
}

auto Console::part(const std::string &text) -> void
{
    if (!json_)
        out_ << text << std::flush;
}

auto Console::json(const Json &document) -> void
{
    if (json_)
        out_ << document.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n' << std::flush;
}

auto Console::note(const std::string &line) -> void
{
    err_ << line << '\n' << std::flush;
}

} // namespace lycheereach
