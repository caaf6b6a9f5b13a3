#include "requests/ProblemDocument.h"

#include "base/JsonCodec.h"

#include <array>
#include <utility>

namespace lycheereach {

namespace {

struct Status
{
    Error error_;
    std::uint16_t status_;
};

constexpr auto statuses = std::array{
    Status{Error::InvalidArgument, 400},  Status{Error::InvalidJson, 400},
    Status{Error::Unauthorized, 401},     Status{Error::NotFound, 404},
    Status{Error::Conflict, 409},         Status{Error::InProgress, 409},
    Status{Error::OutcomeUnknown, 409},   Status{Error::KeyReused, 422},
    Status{Error::RequestBlocked, 422},   Status{Error::Overloaded, 429},
    Status{Error::UpstreamFailed, 502},   Status{Error::IncompleteAnswer, 502},
    Status{Error::WrongAnswer, 502},      Status{Error::ConnectionFailed, 502},
    Status{Error::ConnectionSilent, 504}, Status{Error::DeadlineExceeded, 504},
};
constexpr auto otherStatus = std::uint16_t{503};

} // namespace

auto statusOf(std::error_code code) -> std::uint16_t
{
    for (const auto &[error, status] : statuses) {
        if (code == error)
            return status;
    }
    return otherStatus;
}

auto problemFor(const Failure &failure, const RequestId &request) -> ProblemDocument
{
    return {statusOf(failure.code_), failure.code_, failure.message_,
            failure.verdict_,        request,       failure.retryAfter_};
}

auto ProblemDocument::body() const -> std::string
{
    const auto title = code_.message();
    auto type = std::string("urn:lycheereach:");
    for (const auto letter : title)
        type += letter == ' ' ? '-' : letter;
    const auto json = Json{{"type", type},
                           {"title", title},
                           {"status", status_},
                           {"detail", detail_},
                           {"verdict", toString(verdict_)},
                           {"requestId", request_.text()}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto ProblemDocument::streamEvent() const -> std::string
{
    return "event: error\ndata: " + body() + "\n\n";
}

} // namespace lycheereach
