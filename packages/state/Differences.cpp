#include "state/Differences.h"

namespace lycheereach {

namespace {

auto describe(const Json &before, const Json &change) -> std::string
{
    const auto path = change.at("path").get<std::string>();
    const auto operation = change.at("op").get<std::string>();
    if (operation == "add")
        return path + ": added " + change.at("value").dump();
    const auto old = before.at(Json::json_pointer(path)).dump();
    if (operation == "remove")
        return path + ": removed " + old;
    return path + ": " + old + " -> " + change.at("value").dump();
}

} // namespace

auto differencesBetween(const Json &before, const Json &after) -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{};
    auto current = before;
    for (const auto &change : Json::diff(before, after)) {
        lines.push_back(describe(current, change));
        current = current.patch(Json::array({change}));
    }
    return lines;
}

} // namespace lycheereach
