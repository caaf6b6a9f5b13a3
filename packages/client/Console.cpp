#include "client/Console.h"

#include <ostream>

namespace lycheereach {

Console::Console(std::ostream &out, std::ostream &err, bool json)
    : out_(out)
    , err_(err)
    , jsonOutput_(json)
{ }

auto Console::writeLine(const std::string &line) -> void
{
    if (!jsonOutput_)
        out_ << line << '\n' << std::flush;
}

auto Console::writeText(const std::string &text) -> void
{
    if (!jsonOutput_)
        out_ << text << std::flush;
}

auto Console::writeJson(const Json &document) -> void
{
    if (jsonOutput_)
        out_ << document.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n' << std::flush;
}

auto Console::writeDiagnostic(const std::string &line) -> void
{
    err_ << line << '\n' << std::flush;
}

} // namespace lycheereach
