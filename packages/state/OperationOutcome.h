/// \file
/// \brief The outcome of an operator's operation, given again when it is resent.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/OperationStatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheereach {

/// The outcome of an operator's operation, given again when it is resent.
struct OperationOutcome
{
    OperationId operation_;
    OperationStatus status_ = OperationStatus::Accepted;
    /// For example `apply` or `zone out talca`.
    std::string what_;
    std::string who_;
    /// Wall time in milliseconds since 1970.
    std::int64_t atMs_ = 0;
    /// The version that it made, or the present one.
    Version version_ = 0;
    /// Its place in the log.
    LogIndex index_ = 0;
    /// JSON paths with old and new value.
    std::vector<std::string> differences_;
    std::string message_;

    auto operator==(const OperationOutcome &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("operation", &OperationOutcome::operation_),
                          field("status", &OperationOutcome::status_),
                          field("what", &OperationOutcome::what_),
                          optionalField("who", &OperationOutcome::who_),
                          optionalField("atMs", &OperationOutcome::atMs_),
                          field("version", &OperationOutcome::version_),
                          optionalField("index", &OperationOutcome::index_),
                          optionalField("differences", &OperationOutcome::differences_),
                          optionalField("message", &OperationOutcome::message_)};
    }
};

} // namespace lycheereach
