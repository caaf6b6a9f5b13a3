#include "requests/ServerSentEvent.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lycheereach {

namespace {

auto withoutCarriageReturn(std::string_view line) -> std::string_view
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

auto parseNumber(std::string_view text) -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t{};
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || rest != end)
        return std::nullopt;
    return number;
}

auto parseLine(std::string_view line, ServerSentEvent &event, bool &hasData) -> void
{
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "event")
        event.type_ = value;
    if (name == "id")
        event.id_ = parseNumber(value);
    if (name != "data")
        return;
    if (hasData)
        event.data_ += '\n';
    event.data_ += value;
    hasData = true;
}

} // namespace

auto ServerSentEvent::serialize(std::optional<std::uint64_t> id) const -> std::string
{
    auto result = std::string{};
    if (!type_.empty())
        result += "event: " + type_ + "\n";
    if (id)
        result += "id: " + std::to_string(*id) + "\n";
    auto start = std::size_t{0};
    while (true) {
        const auto end = data_.find('\n', start);
        result += "data: " + data_.substr(start, end - start) + "\n";
        if (end == std::string::npos)
            break;
        start = end + 1;
    }
    return result + "\n";
}

auto firstEventLength(std::string_view text) -> std::size_t
{
    auto start = std::size_t{0};
    while (true) {
        const auto end = text.find('\n', start);
        if (end == std::string_view::npos)
            return 0;
        if (withoutCarriageReturn(text.substr(start, end - start)).empty())
            return end + 1;
        start = end + 1;
    }
}

auto isServerSentEvent(std::string_view text) -> bool
{
    static constexpr auto fieldNames
        = std::to_array<std::string_view>({"data", "event", "id", "retry"});
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto line = withoutCarriageReturn(text.substr(0, end));
        const auto name = line.substr(0, line.find(':'));
        const auto isComment = line.starts_with(':');
        if (isComment || std::find(fieldNames.begin(), fieldNames.end(), name) != fieldNames.end())
            return true;
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return false;
}

auto parseServerSentEvent(std::string_view text) -> ServerSentEvent
{
    auto event = ServerSentEvent{};
    auto hasData = false;
    while (!text.empty()) {
        const auto end = text.find('\n');
        parseLine(withoutCarriageReturn(text.substr(0, end)), event, hasData);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return event;
}

} // namespace lycheereach
