#include "requests/ChatRequest.h"

#include <algorithm>

namespace lycheereach {

namespace {

auto invalidBody(const std::string &path, const std::string &problem) -> Failure
{
    return {Error::InvalidArgument, "request body: " + path + ": " + problem, Verdict::NotRun,
            std::nullopt};
}

auto validateMessages(const Json &body) -> std::optional<Failure>
{
    const auto messages = body.find("messages");
    if (messages == body.end())
        return invalidBody("/messages", "is missing; add the list of messages");
    if (!messages->is_array() || messages->empty())
        return invalidBody("/messages", "expected a list of at least one message");
    for (auto i = std::size_t{0}; i < messages->size(); ++i) {
        const auto path = "/messages/" + std::to_string(i);
        const auto &message = (*messages)[i];
        if (!message.is_object())
            return invalidBody(path, "expected an object with role and content");
        if (!message.contains("role") || !message["role"].is_string())
            return invalidBody(path + "/role", "expected a string such as \"user\"");
        if (!message.contains("content"))
            return invalidBody(path + "/content", "is missing; add the text of the message");
        const auto &content = message["content"];
        if (!content.is_string() && !content.is_array() && !content.is_null())
            return invalidBody(path + "/content", "expected a string or a list of parts");
    }
    return std::nullopt;
}

} // namespace

auto parseChatRequest(std::string_view body) -> Result<ChatRequest>
{
    auto request = ChatRequest{};
    request.body_ = parseBoundedJson(body, clientJsonValueLimit);
    if (request.body_.is_discarded())
        return Failure{Error::InvalidJson,
                       "request body: is no valid JSON, nests more deeply than "
                           + std::to_string(jsonDepthLimit)
                           + " arrays and objects, or holds more than "
                           + std::to_string(clientJsonValueLimit) + " values",
                       Verdict::NotRun, std::nullopt};
    if (!request.body_.is_object())
        return invalidBody("/", "expected an object with model and messages");
    const auto model = request.body_.find("model");
    if (model != request.body_.end() && model->is_string())
        request.model_ = model->get<std::string>();
    if (request.model_.empty())
        return invalidBody("/model", "expected the name of a model");
    if (auto failure = validateMessages(request.body_))
        return *failure;
    const auto stream = request.body_.find("stream");
    if (stream != request.body_.end() && !stream->is_boolean() && !stream->is_null())
        return invalidBody("/stream", "expected true or false");
    request.stream_ = stream != request.body_.end() && stream->is_boolean() && stream->get<bool>();
    const auto maxTokens = request.body_.find("max_tokens");
    if (maxTokens == request.body_.end() || maxTokens->is_null())
        return request;
    if (!maxTokens->is_number_unsigned() || maxTokens->get<std::uint64_t>() == 0)
        return invalidBody("/max_tokens", "expected a whole number above 0");
    request.maxTokens_ = maxTokens->get<std::uint64_t>();
    return request;
}

auto continuationBody(const ChatRequest &request, const std::string &textSoFar,
                      std::uint64_t tokens) -> std::string
{
    auto body = request.body_;
    if (tokens > 0)
        body["messages"].push_back({{"role", "assistant"}, {"content", textSoFar}});
    if (request.maxTokens_ && tokens > 0)
        body["max_tokens"] = *request.maxTokens_ > tokens ? *request.maxTokens_ - tokens : 1;
    return body.dump();
}

} // namespace lycheereach
