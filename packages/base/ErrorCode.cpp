#include "base/ErrorCode.h"

namespace lycheereach {

namespace {

auto describe(Error error) -> const char *
{
    switch (error) {
    case Error::InvalidArgument:
        return "invalid argument";
    case Error::InvalidJson:
        return "invalid JSON";
    case Error::NotFound:
        return "not found";
    case Error::Conflict:
        return "conflict";
    case Error::Unauthorized:
        return "unauthorized";
    case Error::NotLeader:
        return "not the leader";
    case Error::LeaseExpired:
        return "lease expired";
    case Error::Overloaded:
        return "overloaded";
    case Error::DeadlineExceeded:
        return "deadline exceeded";
    case Error::ConnectionFailed:
        return "connection failed";
    case Error::ConnectionSilent:
        return "connection silent";
    case Error::UpstreamFailed:
        return "upstream failed";
    case Error::UpstreamRefused:
        return "upstream refused";
    case Error::IncompleteAnswer:
        return "incomplete answer";
    case Error::WrongAnswer:
        return "answer of another request";
    case Error::KeyReused:
        return "idempotency key used for another request";
    case Error::InProgress:
        return "request in progress";
    case Error::OutcomeUnknown:
        return "outcome unknown";
    case Error::RequestBlocked:
        return "request blocked";
    case Error::CorruptLog:
        return "corrupt log";
    case Error::DiskFailed:
        return "disk failed";
    case Error::DiskFull:
        return "disk full";
    case Error::ShuttingDown:
        return "shutting down";
    case Error::Cancelled:
        return "cancelled";
    case Error::MalformedAnswer:
        return "malformed answer";
    }
    return "unknown error";
}

class Category final : public std::error_category
{
public:
    [[nodiscard]] auto name() const noexcept -> const char * override { return "lycheereach"; }

    [[nodiscard]] auto message(int value) const -> std::string override
    {
        return describe(static_cast<Error>(value));
    }
};

} // namespace

auto errorCategory() -> const std::error_category &
{
    static const Category category;
    return category;
}

auto make_error_code(Error error) -> std::error_code // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(error), errorCategory()};
}

} // namespace lycheereach
