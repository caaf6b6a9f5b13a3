/// \file
/// \brief Calls to whichever entry answers.
#pragma once

#include "base/JsonCodec.h"
#include "client/ClientHooks.h"

#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// The final answer to an operator's operation.
struct OperationAnswer
{
    HttpResponse response_;
    /// The entry that gave it.
    std::string entry_;
};

/// Asks the entries in order and goes on to the next one when one does not answer.
class EntryCaller
{
public:
    EntryCaller(ClientHooks hooks, std::vector<std::string> entries,
                std::optional<std::string> operatorKey);

    [[nodiscard]] auto hooks() const -> const ClientHooks & { return hooks_; }
    [[nodiscard]] auto entries() const -> const std::vector<std::string> & { return entries_; }
    /// GET from the first entry that answers below 500.
    auto get(const std::string &target) -> Result<HttpResponse>;
    /// GET from the entry at \a address.
    auto getFrom(const std::string &address, const std::string &target) -> Result<HttpResponse>;
    /// Sends \a body, which carries its operation id, again and again until an entry gives a final
    /// answer or \a timeout is over; the failure's verdict says whether it may have run.
    auto operate(const std::string &target, const Json &body, Duration timeout)
        -> Result<OperationAnswer>;

private:
    auto makeCall(const std::string &address, const char *method, const std::string &target) const
        -> HttpCall;

    ClientHooks hooks_;
    std::vector<std::string> entries_;
    std::optional<std::string> operatorKey_;
};

} // namespace lycheereach
