#include "timeline/Timeline.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace lycheereach {

namespace {

constexpr auto microsecondsPerSecond = std::int64_t{1000000};
constexpr auto processColumnWidth = 12;
constexpr auto nameColumnWidth = 22;

auto isBefore(const RecordedEvent &left, const RecordedEvent &right) -> bool
{
    if (left.at_ != right.at_)
        return left.at_ < right.at_;
    return left.process_ < right.process_;
}

auto renderTime(const HybridTime &at) -> std::string
{
    const auto seconds = static_cast<std::time_t>(at.wallMicroseconds_ / microsecondsPerSecond);
    auto parts = std::tm{};
    gmtime_r(&seconds, &parts);
    auto text = std::ostringstream{};
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setfill('0') << std::setw(6)
         << at.wallMicroseconds_ % microsecondsPerSecond << 'Z';
    text << '+' << std::setw(3) << at.counter_;
    return text.str();
}

/// The value unquoted, or as a JSON string when it would be ambiguous without quotes.
auto renderValue(const std::string &value) -> std::string
{
    const auto isPlain = !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return c > ' ' && c != '"' && c != '=' && c != '\x7f';
    });
    if (isPlain)
        return value;
    return toJsonText(Json(value));
}

} // namespace

auto mergeTimelines(const std::vector<std::vector<RecordedEvent>> &processes)
    -> std::vector<RecordedEvent>
{
    auto merged = std::vector<RecordedEvent>{};
    for (const auto &events : processes)
        merged.insert(merged.end(), events.begin(), events.end());
    std::stable_sort(merged.begin(), merged.end(), isBefore);
    merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
    return merged;
}

auto renderEvent(const RecordedEvent &event) -> std::string
{
    auto line = std::ostringstream{};
    line << renderTime(event.at_) << "  " << std::left << std::setw(processColumnWidth)
         << event.process_ << "  " << event.number_ << "  " << std::setw(nameColumnWidth)
         << event.name_;
    for (const auto &[key, value] : event.attributes_)
        line << "  " << key << '=' << renderValue(value);
    auto text = line.str();
    text.erase(text.find_last_not_of(' ') + 1);
    return text;
}

} // namespace lycheereach
