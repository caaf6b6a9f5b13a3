#include "client/SendCommand.h"

#include "client/ChatStreamParser.h"
#include "client/Problem.h"
#include "client/RequestSender.h"
#include "client/Session.h"

namespace lycheereach {

namespace {

constexpr auto firstNonSuccessStatus = 300;
constexpr auto serviceArgumentCount = std::size_t{5};

auto addCallerHeaders(const CommandLine &line, HttpHeaders &headers) -> void
{
    if (line.workspace_)
        headers.add("X-Workspace", *line.workspace_);
    if (line.deadlineMs_)
        headers.add("X-Deadline-Ms", std::to_string(*line.deadlineMs_));
    if (line.priority_)
        headers.add("X-Priority", std::to_string(*line.priority_));
}

auto makeRequest(const Session &session) -> OutgoingRequest
{
    auto outgoing = OutgoingRequest{};
    outgoing.requestId_ = randomId(session.caller_.hooks(), "r-");
    if (session.commandLine_.deadlineMs_)
        outgoing.timeout_ = std::chrono::milliseconds(*session.commandLine_.deadlineMs_);
    addCallerHeaders(session.commandLine_, outgoing.request_.headers_);
    return outgoing;
}

auto makeChatRequest(const Session &session) -> OutgoingRequest
{
    const auto &line = session.commandLine_;
    auto outgoing = makeRequest(session);
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

auto makeServiceRequest(Session &session) -> OutgoingRequest
{
    const auto &words = session.commandLine_.positionalArguments_;
    auto outgoing = makeRequest(session);
    auto &request = outgoing.request_;
    request.method_ = words[3];
    request.target_ = "/services/" + words[2] + (words[4].starts_with("/") ? "" : "/") + words[4];
    request.body_ = session.commandLine_.body_;
    outgoing.repeatable_ = true;
    if (request.method_ == "GET" || request.method_ == "HEAD")
        return outgoing;
    const auto key
        = session.commandLine_.idempotencyKey_.value_or(randomId(session.caller_.hooks(), "k-"));
    request.headers_.add("Idempotency-Key", key);
    session.console_.writeDiagnostic("idempotency key " + key);
    return outgoing;
}

/// The message text of a chat completion; the unchanged body when it has none.
auto chatAnswerText(const std::string &body) -> std::string
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
    session.console_.writeJson(Json{
        {"requestId", outgoing.requestId_}, {"verdict", verdict}, {"message", failure.message_}});
    session.console_.writeDiagnostic("request " + outgoing.requestId_ + " verdict " + verdict + ": "
                                     + failure.message_);
    return ExitCode::Unreachable;
}

auto showResponse(Session &session, const OutgoingRequest &outgoing, const EntryResponse &answer,
                  const std::string &text) -> ExitCode
{
    const auto &headers = answer.response_.headers_;
    const auto isError = answer.response_.status_ >= firstNonSuccessStatus;
    const auto verdict = isError ? std::string(toString(problemVerdict(answer.response_)))
                                 : headers.value("X-Verdict", "ran");
    const auto group = headers.value("X-Group");
    const auto entry = headers.value("X-Entry", answer.address_);
    session.console_.writeJson(Json{{"requestId", outgoing.requestId_},
                                    {"group", group},
                                    {"entry", entry},
                                    {"verdict", verdict},
                                    {"status", answer.response_.status_},
                                    {"answer", isError ? problemText(answer.response_) : text}});
    if (!isError)
        session.console_.writeLine(session.commandLine_.stream_ ? "" : text);
    session.console_.writeDiagnostic("request " + outgoing.requestId_ + " group " + group
                                     + " entry " + entry + " verdict " + verdict
                                     + (isError ? ": " + problemText(answer.response_) : ""));
    if (!isError)
        return ExitCode::Ok;
    return verdict == "may-have-run" ? ExitCode::Unreachable : ExitCode::Failed;
}

/// Reads one streamed response; a stream that ends early is a failure.
auto readStream(Session &session, HttpCall call, std::string &text) -> Result<HttpResponse>
{
    auto stream = ChatStreamParser([&](const std::string &part) {
        text += part;
        session.console_.writeText(part);
    });
    const auto address = call.address_;
    auto response = session.caller_.hooks().stream_(
        std::move(call), [&](std::string_view part) { stream.feed(part); });
    if (!response || response->status_ >= firstNonSuccessStatus)
        return response;
    if (!stream.problemDocument().empty())
        return Failure{Error::IncompleteAnswer, address + ": " + stream.problemDocument(),
                       Verdict::MayHaveRun};
    if (!stream.isComplete())
        return Failure{Error::IncompleteAnswer, address + ": the stream ended without [DONE]",
                       Verdict::MayHaveRun};
    return response;
}

auto sendChat(Session &session) -> ExitCode
{
    if (session.commandLine_.model_.empty() || session.commandLine_.prompt_.empty()) {
        session.console_.writeDiagnostic("lycheereach: 'send chat' needs --model and --prompt");
        return ExitCode::Usage;
    }
    auto outgoing = makeChatRequest(session);
    auto text = std::string{};
    auto streamFailure = std::optional<Failure>{};
    const auto attempt = [&](HttpCall call) -> Result<HttpResponse> {
        if (!session.commandLine_.stream_)
            return session.caller_.hooks().fetch_(std::move(call));
        auto response = readStream(session, std::move(call), text);
        if (response || text.empty())
            return response;
        // Part of the text is already written: an empty response prevents a retry.
        streamFailure = response.failure();
        return HttpResponse{};
    };
    auto sender = RequestSender(session.caller_, attempt);
    const auto answer = sender.send(outgoing);
    if (streamFailure)
        return showFailure(session, outgoing, *streamFailure);
    if (!answer)
        return showFailure(session, outgoing, answer.failure());
    if (!session.commandLine_.stream_)
        text = chatAnswerText(answer->response_.body_);
    return showResponse(session, outgoing, *answer, text);
}

auto sendToService(Session &session) -> ExitCode
{
    const auto outgoing = makeServiceRequest(session);
    auto sender = RequestSender(session.caller_, session.caller_.hooks().fetch_);
    const auto answer = sender.send(outgoing);
    if (!answer)
        return showFailure(session, outgoing, answer.failure());
    return showResponse(session, outgoing, *answer, answer->response_.body_);
}

} // namespace

auto runSend(Session &session) -> ExitCode
{
    const auto &words = session.commandLine_.positionalArguments_;
    if (words[1] == "chat" && words.size() == 2)
        return sendChat(session);
    if (words[1] == "service" && words.size() == serviceArgumentCount)
        return sendToService(session);
    session.console_.writeDiagnostic(
        "lycheereach: expected 'send chat' or 'send service NAME METHOD PATH'");
    return ExitCode::Usage;
}

} // namespace lycheereach
