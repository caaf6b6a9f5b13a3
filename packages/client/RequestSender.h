/// \file
/// \brief Sending a caller's request by way of the entries.
#pragma once

#include "client/EntryCaller.h"

#include <functional>
#include <string>
#include <vector>

namespace lycheereach {

/// A caller's request.
struct OutgoingRequest
{
    HttpRequest request_;
    std::string requestId_;
    /// Whether it may be sent again when an answer is lost.
    bool repeatable_ = false;
    /// When to give up.
    Duration timeLimit_ = std::chrono::seconds(60);
};

/// An answer and who gave it.
struct SentAnswer
{
    HttpResponse response_;
    std::string address_;
};

/// Makes one attempt; the verdict of a failure says whether the request may have run.
using Attempt = std::function<Result<HttpResponse>(HttpCall)>;

/// Sends a request to one of the entries that the fleet names and follows refusals that may pass
/// to another one.
class RequestSender
{
public:
    RequestSender(EntryCaller &caller, Attempt attempt);

    /// The final answer; the failure's verdict says whether the request may have run.
    auto send(const OutgoingRequest &outgoing) -> Result<SentAnswer>;

private:
    auto chooseEntries() -> Result<std::vector<std::string>>;
    auto attemptAt(const std::string &address, const OutgoingRequest &outgoing)
        -> Result<HttpResponse>;

    EntryCaller &caller_;
    Attempt attempt_;
};

} // namespace lycheereach
