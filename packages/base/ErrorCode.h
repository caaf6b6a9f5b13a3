/// \file
/// \brief The error codes of lycheereach as a std::error_code category.
#pragma once

#include <string>
#include <system_error>

namespace lycheereach {

/// Conditions that callers tell apart; their texts are in the category.
enum class Error {
    InvalidArgument = 1,
    InvalidJson,
    NotFound,
    Conflict,
    Unauthorized,
    NotLeader,
    LeaseExpired,
    Overloaded,
    DeadlineExceeded,
    ConnectionFailed,
    ConnectionSilent,
    UpstreamFailed,
    UpstreamRefused,
    IncompleteAnswer,
    WrongAnswer,
    KeyReused,
    InProgress,
    OutcomeUnknown,
    RequestBlocked,
    CorruptLog,
    DiskFailed,
    DiskFull,
    ShuttingDown,
    Cancelled,
    MalformedAnswer,
};

/// The category of Error.
auto errorCategory() -> const std::error_category &;

/// Found by std::error_code's converting constructor.
auto make_error_code(Error error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace lycheereach

template <>
struct std::is_error_code_enum<lycheereach::Error> : std::true_type
{ };
