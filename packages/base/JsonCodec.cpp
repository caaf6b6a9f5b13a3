#include "base/JsonCodec.h"

#include "base/BoundedJsonParser.h"

#include <algorithm>

namespace lycheereach {

namespace detail {

auto jsonFailure(const std::string &path, const std::string &problem) -> Failure
{
    const auto place = path.empty() ? std::string("/") : path;
    return Failure{Error::InvalidJson, place + ": " + problem};
}

auto unknownKey(const std::string &path, const std::string &key,
                const std::vector<std::string> &known) -> Failure
{
    auto choices = std::string{};
    for (const auto &name : known) {
        choices += choices.empty() ? "" : ", ";
        choices += name;
    }
    return jsonFailure(path + "/" + key, "unknown key; known here: " + choices);
}

} // namespace detail

namespace {

auto lineOf(const std::string &text, std::size_t byte) -> std::size_t
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

} // namespace

auto parseBoundedJson(std::string_view text, std::size_t valueLimit) -> Json
{
    auto value = Json();
    auto parser = BoundedJsonParser(value, jsonDepthLimit, valueLimit);
    if (!Json::sax_parse(text, &parser))
        return Json(Json::value_t::discarded);
    return value;
}

auto toJsonText(const Json &json) -> std::string
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto parseJson(const std::string &text, const std::string &source, std::size_t valueLimit)
    -> Result<Json>
{
    try {
        auto value = Json();
        auto parser = BoundedJsonParser(value, jsonDepthLimit, valueLimit, true);
        if (Json::sax_parse(text, &parser, Json::input_format_t::json, true, true))
            return value;
        return Failure{Error::InvalidJson,
                       source + ": nests more deeply than " + std::to_string(jsonDepthLimit)
                           + " arrays and objects"
                           + (valueLimit == noJsonValueLimit ? std::string()
                                                             : ", or holds more than "
                                      + std::to_string(valueLimit) + " values")};
    } catch (const Json::parse_error &error) {
        const auto byte = error.byte == 0 ? std::size_t{0} : error.byte - 1;
        const auto where = source + ":" + std::to_string(lineOf(text, byte));
        auto detail = std::string(error.what());
        if (const auto colon = detail.find(": "); colon != std::string::npos)
            detail = detail.substr(colon + 2);
        return Failure{Error::InvalidJson, where + ": not valid JSON: " + detail};
    } catch (const Json::out_of_range &error) {
        return Failure{Error::InvalidJson,
                       source + ": not valid JSON: a number is out of range: " + error.what()};
    }
}

} // namespace lycheereach
