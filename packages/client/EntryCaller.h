/// \file
/// \brief HTTP calls to entries with failover.
#pragma once

#include "base/JsonCodec.h"
#include "client/ClientHooks.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// The final response to an operation of an operator.
struct OperationResponse
{
    HttpResponse response_;
    /// `IP:port` of the entry that sent it.
    std::string entryAddress_;
};

/// Calls the entries in the given order and fails over to the next one when one does not answer.
class EntryCaller
{
public:
    EntryCaller(ClientHooks hooks, std::vector<std::string> entries,
                std::optional<std::string> operatorKey);

    [[nodiscard]] auto hooks() const -> const ClientHooks & { return hooks_; }
    [[nodiscard]] auto entries() const -> const std::vector<std::string> & { return entries_; }
    /// Returns the first response with a status below 500 other than 429.
    auto getFromAny(const std::string &target) -> Result<HttpResponse>;
    /// GET from the entry at \a address.
    auto getFrom(const std::string &address, const std::string &target) -> Result<HttpResponse>;
    /// Retries with backoff until an entry gives a final response or \a timeout has elapsed. \a
    /// body contains the operation id, by which the entries recognize a retry. The verdict of a
    /// failure says whether the operation may have run.
    auto submitOperation(const std::string &target, const Json &body, Duration timeout)
        -> Result<OperationResponse>;

private:
    auto makeCall(const std::string &address, const char *method, const std::string &target) const
        -> HttpCall;

    ClientHooks hooks_;
    std::vector<std::string> entries_;
    std::optional<std::string> operatorKey_;
};

} // namespace lycheereach
