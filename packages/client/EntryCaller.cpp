#include "client/EntryCaller.h"

#include "client/Problem.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto firstServerErrorStatus = 500;
constexpr auto tooManyRequestsStatus = 429;
constexpr auto initialBackoff = Duration(std::chrono::milliseconds(100));
constexpr auto maxBackoff = Duration(std::chrono::seconds(1));

auto isFinal(const HttpResponse &response) -> bool
{
    return response.status_ < firstServerErrorStatus && response.status_ != tooManyRequestsStatus;
}

} // namespace

EntryCaller::EntryCaller(ClientHooks hooks, std::vector<std::string> entries,
                         std::optional<std::string> operatorKey)
    : hooks_(std::move(hooks))
    , entries_(std::move(entries))
    , operatorKey_(std::move(operatorKey))
{ }

auto EntryCaller::makeCall(const std::string &address, const char *method,
                           const std::string &target) const -> HttpCall
{
    auto call = HttpCall{};
    call.address_ = address;
    call.request_.method_ = method;
    call.request_.target_ = target;
    if (operatorKey_)
        call.request_.headers_.add("Authorization", "Bearer " + *operatorKey_);
    return call;
}

auto EntryCaller::getFrom(const std::string &address, const std::string &target)
    -> Result<HttpResponse>
{
    return hooks_.fetch_(makeCall(address, "GET", target));
}

auto EntryCaller::getFromAny(const std::string &target) -> Result<HttpResponse>
{
    auto problems = std::string{};
    for (const auto &entry : entries_) {
        auto response = getFrom(entry, target);
        if (response && isFinal(*response))
            return response;
        problems += problems.empty() ? "" : "; ";
        problems += response ? entry + ": " + problemText(*response) : response.failure().message_;
    }
    return Failure{Error::ConnectionFailed, "no entry answered: " + problems};
}

auto EntryCaller::submitOperation(const std::string &target, const Json &body, Duration timeout)
    -> Result<OperationResponse>
{
    const auto deadline = hooks_.clock_() + timeout;
    auto backoff = initialBackoff;
    auto failure = Failure{Error::ConnectionFailed, "no entry answered", Verdict::NotRun};
    while (true) {
        for (const auto &entry : entries_) {
            auto call = makeCall(entry, "POST", target);
            call.request_.headers_.add("Content-Type", "application/json");
            call.request_.body_ = body.dump();
            const auto response = hooks_.fetch_(std::move(call));
            if (response && isFinal(*response))
                return OperationResponse{*response, entry};
            const auto verdict = response ? problemVerdict(*response) : response.failure().verdict_;
            failure.verdict_ = combine(failure.verdict_, verdict);
            failure.message_
                = response ? entry + ": " + problemText(*response) : response.failure().message_;
        }
        if (hooks_.clock_() + backoff >= deadline)
            return failure;
        hooks_.sleep_(backoff);
        backoff = std::min(backoff * 2, maxBackoff);
    }
}

} // namespace lycheereach
