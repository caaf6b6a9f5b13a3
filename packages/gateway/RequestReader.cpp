#include "gateway/RequestReader.h"

#include "requests/RequestDigest.h"
#include "requests/RequestFingerprint.h"
#include "requests/RouteTable.h"
#include "state/FleetState.h"
#include "transport/HttpRequest.h"
#include "transport/InputChecks.h"

#include <algorithm>
#include <charconv>

namespace lycheereach {

namespace {

constexpr auto maxPriority = std::uint32_t{9};
constexpr auto defaultPriority = std::uint32_t{5};
constexpr auto maxDeadlineMs = std::uint32_t{24 * 3600 * 1000};
constexpr auto maxKeyLength = std::size_t{255};
constexpr auto bearerScheme = std::string_view("Bearer ");

auto invalidArgument(std::string message) -> Failure
{
    return Failure{Error::InvalidArgument, std::move(message)};
}

auto readNumberHeader(const HttpRequest &request, const char *header, std::uint32_t fallback,
                      std::uint32_t maximum) -> Result<std::uint32_t>
{
    const auto text = request.headers_.find(header);
    if (!text)
        return fallback;
    auto value = std::uint32_t{0};
    const auto *end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc{} || rest != end || value > maximum)
        return invalidArgument(std::string(header) + ": expected a whole number from 0 to "
                               + std::to_string(maximum) + ", found '" + *text + "'");
    return value;
}

auto findWorkspaceByKeyDigest(const Declaration &declaration, const std::string &digest)
    -> const Workspace *
{
    for (const auto &workspace : declaration.workspaces_) {
        const auto &keys = workspace.keyDigests_;
        if (std::find(keys.begin(), keys.end(), digest) != keys.end())
            return &workspace;
    }
    return nullptr;
}

auto findWorkspaceByName(const Declaration &declaration, const WorkspaceName &name)
    -> const Workspace *
{
    for (const auto &workspace : declaration.workspaces_) {
        if (workspace.name_ == name)
            return &workspace;
    }
    return nullptr;
}

/// The workspace that the key in `Authorization` belongs to, or else the one that `X-Workspace`
/// names, if it needs no key.
auto readWorkspace(const HttpRequest &request, const Declaration &declaration) -> Result<Workspace>
{
    const auto authorization = request.headers_.value("Authorization");
    if (authorization.starts_with(bearerScheme)) {
        const auto digest = sha256(authorization.substr(bearerScheme.size()));
        if (const auto *found = findWorkspaceByKeyDigest(declaration, digest))
            return *found;
        return Failure{Error::Unauthorized, "Authorization: the key is of no workspace"};
    }
    const auto name = WorkspaceName(request.headers_.value("X-Workspace", "default"));
    const auto *found = findWorkspaceByName(declaration, name);
    if (found == nullptr)
        return Workspace{.name_ = name};
    if (!found->keyDigests_.empty())
        return Failure{Error::Unauthorized,
                       "workspace '" + name.text() + "' asks for a key: Authorization: Bearer KEY"};
    return *found;
}

auto readChatCompletion(CallerRequest &callerRequest, const RouteTable &routes) -> Result<Nothing>
{
    auto chat = parseChatRequest(callerRequest.body_.text());
    if (!chat)
        return chat.failure();
    auto pool = routes.poolOf(chat->model_);
    if (!pool)
        return pool.failure();
    callerRequest.pool_ = *pool;
    callerRequest.answerKind_
        = chat->stream_ ? ResponseFraming::ChatStream : ResponseFraming::ChatBody;
    callerRequest.prefix_ = prefixChain(chat->body_.at("messages").dump());
    callerRequest.chat_ = std::move(chat.value());
    return Nothing{};
}

auto readIdempotencyKey(const HttpRequest &request, CallerRequest &callerRequest) -> Result<Nothing>
{
    callerRequest.idempotencyKeyHeader_ = request.headers_.value("Idempotency-Key");
    const auto &key = callerRequest.idempotencyKeyHeader_;
    if (!key.empty() && !isVisibleAscii(key, maxKeyLength))
        return invalidArgument("Idempotency-Key: at most 255 visible ASCII characters");
    if (callerRequest.idempotencyKeyHeader_.empty() && !callerRequest.repeatable_)
        return invalidArgument(
            "Idempotency-Key: is missing; this route may not be repeated, so that "
            "every request needs a key of its own");
    if (!callerRequest.repeatable_)
        callerRequest.claimKey_
            = IdempotencyKey(callerRequest.workspace_.text() + "/" + callerRequest.pool_.text()
                             + "/" + callerRequest.idempotencyKeyHeader_);
    return Nothing{};
}

auto readPriorityAndDeadline(const HttpRequest &request, const Declaration &declaration,
                             CallerRequest &callerRequest, MonotonicTime now) -> Result<Nothing>
{
    const auto priority = readNumberHeader(request, "X-Priority", defaultPriority, maxPriority);
    if (!priority)
        return priority.failure();
    callerRequest.priority_ = *priority;
    const auto policy = policyFor(declaration, ZoneName(), callerRequest.pool_, UpstreamId());
    const auto deadline
        = readNumberHeader(request, "X-Deadline-Ms", policy.requestTimeoutMs_, maxDeadlineMs);
    if (!deadline)
        return deadline.failure();
    callerRequest.deadline_
        = request.receivedAt_.value_or(now) + std::chrono::milliseconds(*deadline);
    return Nothing{};
}

auto fingerprintsOf(const CallerRequest &callerRequest) -> std::vector<std::string>
{
    auto fingerprints = std::vector{callerRequest.digest_};
    if (!callerRequest.chat_)
        return fingerprints;
    auto messages = std::vector<std::string>{};
    for (const auto &message : callerRequest.chat_->body_.at("messages"))
        messages.push_back(Json{message.at("role"), message.at("content")}.dump());
    const auto parts = partFingerprints({messages.begin(), messages.end()});
    fingerprints.insert(fingerprints.end(), parts.begin(), parts.end());
    return fingerprints;
}

} // namespace

auto readCallerRequest(const HttpRequest &request, const Declaration &declaration, RequestId id,
                       MonotonicTime now) -> Result<CallerRequest>
{
    const auto workspace = readWorkspace(request, declaration);
    if (!workspace)
        return workspace.failure();
    const auto routes = RouteTable(declaration);
    const auto route = routes.match(request.method_, request.target_);
    if (!route)
        return route.failure();
    auto callerRequest = CallerRequest{.id_ = std::move(id),
                                       .workspace_ = workspace->name_,
                                       .weight_ = workspace->weight_,
                                       .pool_ = route->service_,
                                       .method_ = request.method_,
                                       .target_ = route->upstreamTarget_,
                                       .body_ = request.body_,
                                       .contentType_ = request.headers_.value("Content-Type"),
                                       .repeatable_ = route->repeatable_};
    if (route->service_.empty()) {
        if (auto result = readChatCompletion(callerRequest, routes); !result)
            return result.failure();
    }
    if (auto result = readIdempotencyKey(request, callerRequest); !result)
        return result.failure();
    if (auto result = readPriorityAndDeadline(request, declaration, callerRequest, now); !result)
        return result.failure();
    const auto routeName = callerRequest.pool_.text() + callerRequest.target_;
    callerRequest.digest_
        = requestDigest(callerRequest.method_, routeName, callerRequest.body_.text());
    callerRequest.fingerprints_ = fingerprintsOf(callerRequest);
    return callerRequest;
}

} // namespace lycheereach
