#include "transport/HttpSyntax.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <system_error>

namespace lycheereach {

namespace {

constexpr auto blanks = std::string_view(" \t");

auto isLetterOrDigit(char c) -> bool
{
    return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
}

auto isTokenCharacter(char c) -> bool
{
    constexpr auto marks = std::string_view("!#$%&'*+-.^_`|~");
    return isLetterOrDigit(c) || marks.find(c) != std::string_view::npos;
}

auto isToken(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

auto withoutBlanksAround(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

auto parseNumber(std::string_view digits, int base) -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t{0};
    const auto *end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, number, base);
    if (error != std::errc() || rest != end)
        return std::nullopt;
    return number;
}

} // namespace

auto withoutLineEnd(std::string_view line) -> std::optional<std::string_view>
{
    if (!line.ends_with('\n'))
        return std::nullopt;
    line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

auto isFieldValue(std::string_view text) -> bool
{
    constexpr auto deleteCharacter = '\x7f';
    return std::none_of(text.begin(), text.end(), [](char c) {
        const auto isControl = static_cast<unsigned char>(c) < ' ' || c == deleteCharacter;
        return isControl && c != '\t';
    });
}

auto parseStatusLine(std::string_view text) -> std::optional<HttpStatusLine>
{
    constexpr auto name = std::string_view("HTTP/1.");
    constexpr auto statusStart = name.size() + 2;
    constexpr auto statusLength = std::size_t{3};
    if (!text.starts_with(name) || text.size() < statusStart + statusLength)
        return std::nullopt;
    const auto version = text[name.size()];
    const auto reason = text.substr(statusStart + statusLength);
    const auto isFormed = (version == '0' || version == '1') && text[statusStart - 1] == ' '
        && (reason.empty() || reason.front() == ' ') && isFieldValue(reason);
    constexpr auto decimal = 10;
    const auto status = parseNumber(text.substr(statusStart, statusLength), decimal);
    constexpr auto firstStatus = 100;
    constexpr auto lastStatus = 599;
    if (!isFormed || !status || *status < firstStatus || *status > lastStatus)
        return std::nullopt;
    return HttpStatusLine{version - '0', static_cast<std::uint16_t>(*status)};
}

auto parseFieldLine(std::string_view text) -> std::optional<HttpHeader>
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto name = text.substr(0, colon);
    const auto value = withoutBlanksAround(text.substr(colon + 1));
    if (!isToken(name) || !isFieldValue(value))
        return std::nullopt;
    return HttpHeader{std::string(name), std::string(value)};
}

auto listElements(const HttpHeaders &headers, std::string_view name)
    -> std::vector<std::string_view>
{
    auto elements = std::vector<std::string_view>{};
    for (const auto &header : headers.all()) {
        if (!isSameFieldName(header.name_, name))
            continue;
        auto rest = std::string_view(header.value_);
        while (!rest.empty()) {
            const auto comma = std::min(rest.find(','), rest.size());
            const auto element = withoutBlanksAround(rest.substr(0, comma));
            if (!element.empty())
                elements.push_back(element);
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return elements;
}

auto parseLength(std::string_view text) -> std::optional<std::uint64_t>
{
    constexpr auto decimal = 10;
    return parseNumber(text, decimal);
}

auto parseChunkSize(std::string_view text) -> std::optional<std::uint64_t>
{
    const auto end = std::min(text.find_first_not_of("0123456789abcdefABCDEF"), text.size());
    const auto extension = text.substr(end);
    const auto mark = extension.find_first_not_of(blanks);
    const auto isFormed = extension.empty()
        || (mark != std::string_view::npos && extension[mark] == ';' && isFieldValue(extension));
    constexpr auto hexadecimal = 16;
    return isFormed ? parseNumber(text.substr(0, end), hexadecimal) : std::nullopt;
}

} // namespace lycheereach
