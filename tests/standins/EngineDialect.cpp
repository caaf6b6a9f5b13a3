#include "standins/EngineDialect.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

namespace lycheereach {

auto promptHash(const std::string &prompt) -> std::string
{
    auto hash = std::uint64_t{14695981039346656037U};
    for (const auto letter : prompt) {
        hash ^= static_cast<unsigned char>(letter);
        hash *= 1099511628211U;
    }
    auto text = std::array<char, 17>{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
    return text.data();
}

auto promptOf(const Json &body) -> std::string
{
    auto prompt = std::string{};
    for (const auto &message : body.value("messages", Json::array())) {
        if (message.value("role", "") == "user")
            prompt += message.value("content", "");
    }
    return prompt;
}

auto tokensSaid(const Json &body) -> std::uint64_t
{
    const auto messages = body.value("messages", Json::array());
    if (messages.empty() || messages.back().value("role", "") != "assistant")
        return 0;
    const auto text = messages.back().value("content", "");
    return static_cast<std::uint64_t>(std::count(text.begin(), text.end(), ';'));
}

auto jsonAnswer(std::uint16_t status, const Json &body) -> HttpResponse
{
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

auto echoed(const HttpRequest &request) -> HttpHeaders
{
    auto headers = HttpHeaders{};
    for (const auto *name : {"X-Request-Id", "X-Attempt-Id", "X-Group", "X-Group-Epoch"})
        headers.add(name, request.headers_.value(name));
    return headers;
}

auto refusal(const HttpRequest &request, std::uint16_t status, const std::string &detail)
    -> HttpResponse
{
    auto answer = jsonAnswer(status, {{"error", detail}});
    answer.headers_.add("X-Verdict", "not-run");
    const auto echo = echoed(request);
    for (const auto &header : echo.all())
        answer.headers_.add(header.name_, header.value_);
    return answer;
}

auto numberOf(const HttpRequest &request, const char *name) -> std::uint64_t
{
    const auto text = request.headers_.value(name, "0");
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace lycheereach
