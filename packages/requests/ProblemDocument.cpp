#include "requests/ProblemDocument.h"

#include "base/JsonCodec.h"

#include <array>
#include <utility>

namespace lycheereach {

namespace {

struct ErrorStatus
{
    Error error_;
    std::uint16_t status_;
};

constexpr auto errorStatuses = std::array{
    ErrorStatus{Error::InvalidArgument, 400},  ErrorStatus{Error::InvalidJson, 400},
    ErrorStatus{Error::Unauthorized, 401},     ErrorStatus{Error::NotFound, 404},
    ErrorStatus{Error::Conflict, 409},         ErrorStatus{Error::InProgress, 409},
    ErrorStatus{Error::OutcomeUnknown, 409},   ErrorStatus{Error::KeyReused, 422},
    ErrorStatus{Error::RequestBlocked, 422},   ErrorStatus{Error::Overloaded, 429},
    ErrorStatus{Error::UpstreamFailed, 502},   ErrorStatus{Error::IncompleteAnswer, 502},
    ErrorStatus{Error::WrongAnswer, 502},      ErrorStatus{Error::ConnectionFailed, 502},
    ErrorStatus{Error::ConnectionSilent, 504}, ErrorStatus{Error::DeadlineExceeded, 504},
    ErrorStatus{Error::MalformedAnswer, 502},
};
constexpr auto defaultStatus = std::uint16_t{503};

} // namespace

auto httpStatusOf(std::error_code code) -> std::uint16_t
{
    for (const auto &[error, status] : errorStatuses) {
        if (code == error)
            return status;
    }
    return defaultStatus;
}

auto makeProblemDocument(const Failure &failure, const RequestId &request) -> ProblemDocument
{
    return {httpStatusOf(failure.code_), failure.code_, failure.message_, failure.verdict_, request,
            failure.retryAfter_};
}

auto ProblemDocument::toJson() const -> std::string
{
    const auto title = code_.message();
    auto type = std::string("urn:lycheereach:");
    for (const auto character : title)
        type += character == ' ' ? '-' : character;
    const auto json = Json{{"type", type},
                           {"title", title},
                           {"status", status_},
                           {"detail", detail_},
                           {"verdict", toString(verdict_)},
                           {"requestId", request_.text()}};
    return toJsonText(json);
}

auto ProblemDocument::toServerSentEvent() const -> std::string
{
    return "event: error\ndata: " + toJson() + "\n\n";
}

} // namespace lycheereach
