#include "transport/ReadAnswer.h"

#include "transport/HttpAnswerReader.h"

#include <algorithm>

namespace lycheereach {

auto readAnswer(const std::string &bytes, bool answersHead, std::size_t partBytes)
    -> std::optional<HttpResponse>
{
    auto reader = HttpAnswerReader(answersHead);
    auto rest = std::string_view(bytes);
    while (!reader.isHeadComplete()) {
        const auto end = rest.find('\n');
        if (end == std::string_view::npos || !reader.takeHeadLine(rest.substr(0, end + 1)))
            return std::nullopt;
        rest.remove_prefix(end + 1);
    }
    auto answer = reader.head();
    const auto append = [&](std::string_view part) { answer.body_ += part; };
    while (!rest.empty() && !reader.hasExcess()) {
        const auto part = rest.substr(0, partBytes);
        if (!reader.takeBody(part, append))
            return std::nullopt;
        rest.remove_prefix(part.size());
    }
    if (reader.isDelimited() && !reader.isWhole())
        return std::nullopt;
    return answer;
}

} // namespace lycheereach
