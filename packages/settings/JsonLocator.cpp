#include "settings/JsonLocator.h"

#include <nlohmann/json.hpp>

#include <iterator>
#include <optional>

namespace lycheereach {

namespace {

using Json = nlohmann::json;

/// How far the parser has read.
struct ReadPosition
{
    std::size_t line_ = 1;
    bool lineEnds_ = false;

    auto advance(char passed) -> void
    {
        if (lineEnds_)
            ++line_;
        lineEnds_ = passed == '\n';
    }
};

/// Reads the text and keeps a ReadPosition up to date.
class TrackingIterator
{
public:
    using iterator_category = std::input_iterator_tag; // NOLINT(readability-identifier-naming)
    using value_type = char;                           // NOLINT(readability-identifier-naming)
    using difference_type = std::ptrdiff_t;            // NOLINT(readability-identifier-naming)
    using pointer = const char *;                      // NOLINT(readability-identifier-naming)
    using reference = const char &;                    // NOLINT(readability-identifier-naming)

    TrackingIterator(const char *at, ReadPosition *position)
        : at_(at)
        , position_(position)
    { }

    auto operator*() const -> reference { return *at_; }
    auto operator++() -> TrackingIterator &
    {
        position_->advance(*at_);
        ++at_;
        return *this;
    }
    auto operator++(int) -> TrackingIterator
    {
        auto before = *this;
        ++*this;
        return before;
    }
    auto operator==(const TrackingIterator &other) const -> bool { return at_ == other.at_; }

private:
    const char *at_;
    ReadPosition *position_;
};

/// Notes the line of every key and array element.
class LocatingHandler : public nlohmann::json_sax<Json>
{
public:
    LocatingHandler(const ReadPosition &position, std::map<std::string, std::size_t> &lines,
                    std::vector<std::string> &repeatedKeys)
        : position_(position)
        , lines_(lines)
        , repeatedKeys_(repeatedKeys)
    { }

    auto null() -> bool override { return value(); }
    auto boolean(bool /*value*/) -> bool override { return value(); }
    auto number_integer(number_integer_t /*value*/) -> bool override { return value(); }
    auto number_unsigned(number_unsigned_t /*value*/) -> bool override { return value(); }
    auto number_float(number_float_t /*value*/, const string_t & /*text*/) -> bool override
    {
        return value();
    }
    auto string(string_t & /*value*/) -> bool override { return value(); }
    auto binary(binary_t & /*value*/) -> bool override { return value(); }

    auto start_object(std::size_t /*elements*/) -> bool override
    {
        value();
        open_.push_back({currentPath(), std::nullopt});
        return true;
    }
    auto key(string_t &name) -> bool override
    {
        key_ = open_.back().path_ + "/" + name;
        if (!lines_.emplace(key_, position_.line_).second)
            repeatedKeys_.push_back(key_);
        return true;
    }
    auto end_object() -> bool override { return close(); }
    auto start_array(std::size_t /*elements*/) -> bool override
    {
        value();
        open_.push_back({currentPath(), 0});
        return true;
    }
    auto end_array() -> bool override { return close(); }
    auto parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) -> bool override
    {
        return false;
    }

private:
    struct Container
    {
        std::string path_;
        /// The next position, for an array.
        std::optional<std::size_t> next_;
    };

    auto currentPath() const -> std::string
    {
        if (open_.empty())
            return "";
        const auto &container = open_.back();
        if (!container.next_)
            return key_;
        return container.path_ + "/" + std::to_string(*container.next_ - 1);
    }

    auto value() -> bool
    {
        if (open_.empty() || !open_.back().next_)
            return true;
        ++*open_.back().next_;
        lines_.emplace(currentPath(), position_.line_);
        return true;
    }

    auto close() -> bool
    {
        open_.pop_back();
        return true;
    }

    const ReadPosition &position_;
    std::map<std::string, std::size_t> &lines_;
    std::vector<std::string> &repeatedKeys_;
    std::vector<Container> open_;
    std::string key_;
};

} // namespace

JsonLocator::JsonLocator(const std::string &text)
{
    auto position = ReadPosition{};
    auto handler = LocatingHandler(position, lines_, repeatedKeys_);
    const auto begin = TrackingIterator(text.data(), &position);
    const auto end = TrackingIterator(text.data() + text.size(), &position);
    Json::sax_parse(begin, end, &handler, Json::input_format_t::json, true, true);
}

auto JsonLocator::lineOf(const std::string &path) const -> std::size_t
{
    auto place = path;
    while (!place.empty()) {
        if (const auto found = lines_.find(place); found != lines_.end())
            return found->second;
        const auto slash = place.rfind('/');
        if (slash == std::string::npos)
            break;
        place.resize(slash);
    }
    return 1;
}

} // namespace lycheereach
