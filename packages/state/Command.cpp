#include "state/Command.h"

#include "base/Compression.h"

#include <array>

namespace lycheereach {

namespace {

/// The tags of the commands in the log, in the order of the variant; never reordered or reused.
constexpr auto tags = std::to_array<const char *>(
    {"apply",   "zone",       "drain",       "entry",   "entryPhase", "upstream", "upstreamLost",
     "group",   "groupPhase", "leaseholder", "claim",   "settle",     "expire",   "block",
     "publish", "evacuate",   "confirm",     "traffic", "retire",     "unblock"});
static_assert(tags.size() == std::variant_size_v<Command>);

template <std::size_t Index>
auto decodeAs(const std::string &tag, const Json &body) -> Result<Command>
{
    if constexpr (Index == std::variant_size_v<Command>) {
        return Failure{Error::InvalidJson, "unknown command '" + tag + "' in the log"};
    } else {
        if (tag != tags[Index])
            return decodeAs<Index + 1>(tag, body);
        auto result = decode<std::variant_alternative_t<Index, Command>>(body, "/" + tag);
        if (!result)
            return result.failure();
        return Command(std::move(result.value()));
    }
}

} // namespace

auto encodeCommand(const Command &command) -> std::string
{
    auto json = Json::object();
    json[tags.at(command.index())]
        = std::visit([](const auto &body) { return encode(body); }, command);
    return packText(json.dump());
}

auto decodeCommand(const std::string &text) -> Result<Command>
{
    const auto unpacked = unpackText(text);
    if (!unpacked)
        return unpacked.failure();
    const auto json = parseBoundedJson(*unpacked);
    if (!json.is_object() || json.size() != 1)
        return Failure{Error::InvalidJson, "a log record is not a command"};
    const auto item = json.begin();
    return decodeAs<0>(item.key(), item.value());
}

} // namespace lycheereach
