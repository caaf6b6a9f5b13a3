#include "client/SendCommand.h"

#include "client/EventStream.h"
#include "client/Problem.h"
#include "client/RequestSender.h"
#include "client/Session.h"

namespace lycheereach {

namespace {

constexpr auto success = 300;
constexpr auto serviceWords = std::size_t{5};

auto addCallerHeaders(const CommandLine &line, HttpHeaders &headers) -> void
{
    if (line.workspace_)
        headers.add("X-Workspace", *line.workspace_);
    if (line.deadlineMs_)
        headers.add("X-Deadline-Ms", std::to_string(*line.deadlineMs_));
    if (line.priority_)
        headers.add("X-Priority", std::to_string(*line.priority_));
}

auto newRequest(const Session &session) -> OutgoingRequest
{
    auto outgoing = OutgoingRequest{};
    outgoing.requestId_ = randomId(session.caller_.hooks(), "r-");
    if (session.line_.deadlineMs_)
        outgoing.timeLimit_ = std::chrono::milliseconds(*session.line_.deadlineMs_);
    addCallerHeaders(session.line_, outgoing.request_.headers_);
    return outgoing;
}

auto chatRequest(const Session &session) -> OutgoingRequest
{
    const auto &line = session.line_;
    auto outgoing = newRequest(session);
    auto body = Json{{"model", line.model_},
                     {"messages", Json::array({{{"role", "user"}, {"content", line.prompt_}}})},
                     {"stream", line.stream_}};
    if (line.maxTokens_)
        body["max_tokens"] = *line.maxTokens_;
    outgoing.request_.method_ = "POST";
    outgoing.request_.target_ = "/v1/chat/completions";
    outgoing.request_.headers_.add("Content-Type", "application/json");
    outgoing.request_.body_ = body.dump();
    outgoing.repeatable_ = true;
    return outgoing;
}

auto serviceRequest(Session &session) -> OutgoingRequest
{
    const auto &words = session.line_.words_;
    auto outgoing = newRequest(session);
    auto &request = outgoing.request_;
    request.method_ = words[3];
    request.target_ = "/services/" + words[2] + (words[4].starts_with("/") ? "" : "/") + words[4];
    request.body_ = session.line_.body_;
    outgoing.repeatable_ = true;
    if (request.method_ == "GET" || request.method_ == "HEAD")
        return outgoing;
    const auto key
        = session.line_.idempotencyKey_.value_or(randomId(session.caller_.hooks(), "k-"));
    request.headers_.add("Idempotency-Key", key);
    session.console_.note("idempotency key " + key);
    return outgoing;
}

/// The text of a chat answer, or the body as it is.
auto answerText(const std::string &body) -> std::string
{
    const auto pointer = Json::json_pointer("/choices/0/message/content");
    const auto document = parseJson(body, "answer");
    if (!document || !document->contains(pointer) || !document->at(pointer).is_string())
        return body;
    return document->at(pointer).get<std::string>();
}

auto showFailure(Session &session, const OutgoingRequest &outgoing, const Failure &failure)
    -> ExitCode
{
    const auto verdict = std::string(toString(failure.verdict_));
    session.console_.json(Json{
        {"requestId", outgoing.requestId_}, {"verdict", verdict}, {"message", failure.message_}});
    session.console_.note("request " + outgoing.requestId_ + " verdict " + verdict + ": "
                          + failure.message_);
    return ExitCode::Unreachable;
}

auto showAnswer(Session &session, const OutgoingRequest &outgoing, const SentAnswer &answer,
                const std::string &text) -> ExitCode
{
    const auto &headers = answer.response_.headers_;
    const auto isError = answer.response_.status_ >= success;
    const auto verdict = isError ? std::string(toString(problemVerdict(answer.response_)))
                                 : headers.value("X-Verdict", "ran");
    const auto group = headers.value("X-Group");
    const auto entry = headers.value("X-Entry", answer.address_);
    session.console_.json(Json{{"requestId", outgoing.requestId_},
                               {"group", group},
                               {"entry", entry},
                               {"verdict", verdict},
                               {"status", answer.response_.status_},
                               {"answer", isError ? problemText(answer.response_) : text}});
    if (!isError)
        session.console_.text(session.line_.stream_ ? "" : text);
    session.console_.note("request " + outgoing.requestId_ + " group " + group + " entry " + entry
                          + " verdict " + verdict
                          + (isError ? ": " + problemText(answer.response_) : ""));
    if (!isError)
        return ExitCode::Ok;
    return verdict == "may-have-run" ? ExitCode::Unreachable : ExitCode::Failed;
}

/// Reads one streamed answer; a stream that is not whole is a failure.
auto streamOnce(Session &session, HttpCall call, std::string &text) -> Result<HttpResponse>
{
    auto stream = EventStream([&](const std::string &part) {
        text += part;
        session.console_.part(part);
    });
    const auto address = call.address_;
    auto response = session.caller_.hooks().stream_(
        std::move(call), [&](std::string_view part) { stream.feed(part); });
    if (!response || response->status_ >= success)
        return response;
    if (!stream.problem().empty())
        return Failure{Error::IncompleteAnswer, address + ": " + stream.problem(),
                       Verdict::MayHaveRun};
    if (!stream.isWhole())
        return Failure{Error::IncompleteAnswer, address + ": the stream ended without [DONE]",
                       Verdict::MayHaveRun};
    return response;
}

auto sendChat(Session &session) -> ExitCode
{
    if (session.line_.model_.empty() || session.line_.prompt_.empty()) {
        session.console_.note("lycheereach: 'send chat' needs --model and --prompt");
        return ExitCode::Usage;
    }
    auto outgoing = chatRequest(session);
    auto text = std::string{};
    auto brokenOff = std::optional<Failure>{};
    const auto attempt = [&](HttpCall call) -> Result<HttpResponse> {
        if (!session.line_.stream_)
            return session.caller_.hooks().fetch_(std::move(call));
        auto response = streamOnce(session, std::move(call), text);
        if (response || text.empty())
            return response;
        brokenOff = response.failure();
        return HttpResponse{};
    };
    auto sender = RequestSender(session.caller_, attempt);
    const auto answer = sender.send(outgoing);
    if (brokenOff)
        return showFailure(session, outgoing, *brokenOff);
    if (!answer)
        return showFailure(session, outgoing, answer.failure());
    if (!session.line_.stream_)
        text = answerText(answer->response_.body_);
    return showAnswer(session, outgoing, *answer, text);
}

auto sendToService(Session &session) -> ExitCode
{
    const auto outgoing = serviceRequest(session);
    auto sender = RequestSender(session.caller_, session.caller_.hooks().fetch_);
    const auto answer = sender.send(outgoing);
    if (!answer)
        return showFailure(session, outgoing, answer.failure());
    return showAnswer(session, outgoing, *answer, answer->response_.body_);
}

} // namespace

auto runSend(Session &session) -> ExitCode
{
    const auto &words = session.line_.words_;
    if (words[1] == "chat" && words.size() == 2)
        return sendChat(session);
    if (words[1] == "service" && words.size() == serviceWords)
        return sendToService(session);
    session.console_.note("lycheereach: expected 'send chat' or 'send service NAME METHOD PATH'");
    return ExitCode::Usage;
}

} // namespace lycheereach
