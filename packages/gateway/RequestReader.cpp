#include "gateway/RequestReader.h"

#include "requests/RequestDigest.h"
#include "requests/RouteTable.h"
#include "state/FleetState.h"
#include "transport/HttpRequest.h"

#include <algorithm>
#include <charconv>

namespace lycheereach {

namespace {

constexpr auto highestPriority = std::uint32_t{9};
constexpr auto defaultPriority = std::uint32_t{5};
constexpr auto longestDeadlineMs = std::uint32_t{24 * 3600 * 1000};
constexpr auto longestKey = std::size_t{255};
constexpr auto bearer = std::string_view("Bearer ");

auto invalid(std::string message) -> Failure
{
    return Failure{Error::InvalidArgument, std::move(message)};
}

auto readNumber(const HttpRequest &request, const char *header, std::uint32_t fallback,
                std::uint32_t highest) -> Result<std::uint32_t>
{
    const auto text = request.headers_.find(header);
    if (!text)
        return fallback;
    auto value = std::uint32_t{0};
    const auto *end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc{} || rest != end || value > highest)
        return invalid(std::string(header) + ": expected a whole number from 0 to "
                       + std::to_string(highest) + ", found '" + *text + "'");
    return value;
}

auto workspaceOfKey(const Declaration &declaration, const std::string &digest) -> const Workspace *
{
    for (const auto &workspace : declaration.workspaces_) {
        const auto &keys = workspace.keyDigests_;
        if (std::find(keys.begin(), keys.end(), digest) != keys.end())
            return &workspace;
    }
    return nullptr;
}

auto workspaceNamed(const Declaration &declaration, const WorkspaceName &name) -> const Workspace *
{
    for (const auto &workspace : declaration.workspaces_) {
        if (workspace.name_ == name)
            return &workspace;
    }
    return nullptr;
}

/// The workspace by the caller's key, or by its header where no key is asked for.
auto readWorkspace(const HttpRequest &request, const Declaration &declaration) -> Result<Workspace>
{
    const auto authorization = request.headers_.value("Authorization");
    if (authorization.starts_with(bearer)) {
        const auto digest = sha256(authorization.substr(bearer.size()));
        if (const auto *found = workspaceOfKey(declaration, digest))
            return *found;
        return Failure{Error::Unauthorized, "Authorization: the key is of no workspace"};
    }
    const auto name = WorkspaceName(request.headers_.value("X-Workspace", "default"));
    const auto *found = workspaceNamed(declaration, name);
    if (found == nullptr)
        return Workspace{.name_ = name};
    if (!found->keyDigests_.empty())
        return Failure{Error::Unauthorized,
                       "workspace '" + name.text() + "' asks for a key: Authorization: Bearer KEY"};
    return *found;
}

auto readChat(CallerRequest &read, const RouteTable &routes) -> Result<Nothing>
{
    auto chat = parseChatRequest(read.body_);
    if (!chat)
        return chat.failure();
    auto pool = routes.poolOf(chat->model_);
    if (!pool)
        return pool.failure();
    read.pool_ = *pool;
    read.answer_ = chat->stream_ ? ResponseFraming::ChatStream : ResponseFraming::ChatBody;
    read.prefix_ = prefixChain(chat->body_.at("messages").dump());
    read.chat_ = std::move(chat.value());
    return Nothing{};
}

auto readKey(const HttpRequest &request, CallerRequest &read) -> Result<Nothing>
{
    read.callerKey_ = request.headers_.value("Idempotency-Key");
    if (read.callerKey_.size() > longestKey)
        return invalid("Idempotency-Key: at most 255 characters");
    if (read.callerKey_.empty() && !read.repeatable_)
        return invalid("Idempotency-Key: is missing; this route may not be repeated, so that "
                       "every request needs a key of its own");
    if (!read.repeatable_)
        read.key_ = IdempotencyKey(read.workspace_.text() + "/" + read.pool_.text() + "/"
                                   + read.callerKey_);
    return Nothing{};
}

auto readLimits(const HttpRequest &request, const Declaration &declaration, CallerRequest &read,
                MonotonicTime now) -> Result<Nothing>
{
    const auto priority = readNumber(request, "X-Priority", defaultPriority, highestPriority);
    if (!priority)
        return priority.failure();
    read.priority_ = *priority;
    const auto policy = policyFor(declaration, ZoneName(), read.pool_, UpstreamId());
    const auto deadline
        = readNumber(request, "X-Deadline-Ms", policy.requestTimeoutMs_, longestDeadlineMs);
    if (!deadline)
        return deadline.failure();
    read.deadline_ = now + std::chrono::milliseconds(*deadline);
    return Nothing{};
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
    auto read = CallerRequest{.id_ = std::move(id),
                              .workspace_ = workspace->name_,
                              .weight_ = workspace->weight_,
                              .pool_ = route->service_,
                              .method_ = request.method_,
                              .target_ = route->upstreamTarget_,
                              .body_ = request.body_,
                              .contentType_ = request.headers_.value("Content-Type"),
                              .repeatable_ = route->repeatable_};
    if (route->service_.empty()) {
        if (auto result = readChat(read, routes); !result)
            return result.failure();
    }
    if (auto result = readKey(request, read); !result)
        return result.failure();
    if (auto result = readLimits(request, declaration, read, now); !result)
        return result.failure();
    const auto routeName = read.pool_.text() + read.target_;
    read.digest_ = requestDigest(read.method_, routeName, read.body_);
    return read;
}

} // namespace lycheereach
