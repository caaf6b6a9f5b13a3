#include "transport/ReferenceAnswer.h"

#include <algorithm>
#include <regex>
#include <set>
#include <vector>

namespace lycheereach {

namespace {

const auto statusLine
    = std::regex("HTTP/1\\.([01]) ([1-5][0-9][0-9])(?: [\\t\\x20-\\x7e\\x80-\\xff]*)?");
const auto fieldLine = std::regex("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*"
                                  "((?:[\\x21-\\x7e\\x80-\\xff]"
                                  "(?:[\\t\\x20-\\x7e\\x80-\\xff]*[\\x21-\\x7e\\x80-\\xff])?)?)"
                                  "[ \\t]*");
const auto chunkLine = std::regex("([0-9A-Fa-f]+)(?:[ \\t]*;[\\t\\x20-\\x7e\\x80-\\xff]*)?");

const auto element = std::regex("[^, \\t](?:[^,]*[^, \\t])?");

/// Takes the line at the front of \a rest, without its end.
auto takeLine(std::string &rest, bool mayEndWithLineFeed) -> std::optional<std::string>
{
    const auto end = rest.find('\n');
    if (end == std::string::npos)
        return std::nullopt;
    auto line = rest.substr(0, end);
    rest.erase(0, end + 1);
    if (line.ends_with('\r'))
        line.pop_back();
    else if (!mayEndWithLineFeed)
        return std::nullopt;
    return line;
}

auto takeFields(std::string &rest, bool mayEndWithLineFeed) -> std::optional<HttpHeaders>
{
    auto headers = HttpHeaders{};
    while (true) {
        const auto line = takeLine(rest, mayEndWithLineFeed);
        auto match = std::smatch{};
        if (!line)
            return std::nullopt;
        if (line->empty())
            return headers;
        if (!std::regex_match(*line, match, fieldLine))
            return std::nullopt;
        headers.add(match[1], match[2]);
    }
}

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
    return text;
}

/// The different elements of the lists in all fields of that name, and how many there are.
auto elementsOf(const HttpHeaders &headers, const std::string &name) -> std::vector<std::string>
{
    auto all = std::string{};
    for (const auto &header : headers.all()) {
        if (lowerCase(header.name_) == name)
            all += "," + header.value_;
    }
    return {std::sregex_token_iterator(all.begin(), all.end(), element),
            std::sregex_token_iterator()};
}

auto takeChunks(std::string rest) -> std::optional<std::string>
{
    auto body = std::string{};
    while (true) {
        const auto line = takeLine(rest, false);
        auto match = std::smatch{};
        if (!line || !std::regex_match(*line, match, chunkLine))
            return std::nullopt;
        const auto digits = std::regex_replace(match[1].str(), std::regex("^0+"), "");
        if (digits.empty())
            return takeFields(rest, false) ? std::optional(body) : std::nullopt;
        const auto size = digits.size() > 4 ? rest.size() : std::stoul(digits, nullptr, 16);
        if (size + 2 > rest.size() || rest.compare(size, 2, "\r\n") != 0)
            return std::nullopt;
        body += rest.substr(0, size);
        rest.erase(0, size + 2);
    }
}

} // namespace

auto referenceAnswer(const std::string &bytes) -> std::optional<HttpResponse>
{
    auto rest = bytes;
    auto match = std::smatch{};
    auto answer = HttpResponse{};
    while (answer.status_ < 200) {
        const auto line = takeLine(rest, true);
        if (!line || !std::regex_match(*line, match, statusLine) || match[2] == "101")
            return std::nullopt;
        answer.status_ = static_cast<std::uint16_t>(std::stoi(match[2]));
        const auto isFirstVersion = match[1] == "0";
        const auto headers = takeFields(rest, true);
        if (!headers)
            return std::nullopt;
        answer.headers_ = *headers;
        if (isFirstVersion && answer.status_ >= 200 && headers->find("Transfer-Encoding"))
            return std::nullopt;
    }
    const auto &headers = answer.headers_;
    const auto lengths = elementsOf(headers, "content-length");
    const auto codings = elementsOf(headers, "transfer-encoding");
    const auto hasLength = headers.find("Content-Length").has_value();
    const auto hasCoding = headers.find("Transfer-Encoding").has_value();
    const auto isNumber
        = !lengths.empty() && std::regex_match(lengths.front(), std::regex("[0-9]+"));
    if (hasLength
        && (hasCoding || !isNumber || std::set(lengths.begin(), lengths.end()).size() != 1))
        return std::nullopt;
    if (hasCoding && (codings.size() != 1 || lowerCase(codings.front()) != "chunked"))
        return std::nullopt;
    if (answer.status_ == 204 || answer.status_ == 304)
        return answer;
    if (hasCoding) {
        const auto body = takeChunks(rest);
        answer.body_ = body.value_or("");
        return body ? std::optional(answer) : std::nullopt;
    }
    if (hasLength) {
        const auto digits = std::regex_replace(lengths.front(), std::regex("^0+(?=.)"), "");
        if (digits.size() > 6 || std::stoul(digits) > rest.size())
            return std::nullopt;
        rest.resize(std::stoul(digits));
    }
    answer.body_ = rest;
    return answer;
}

} // namespace lycheereach
