/// \file
/// \brief Sends a request to the fleet, with retries on other entries.
#pragma once

#include "client/EntryCaller.h"

#include <functional>
#include <string>
#include <vector>

namespace lycheereach {

/// A request to a model or service and its retry rules.
struct OutgoingRequest
{
    HttpRequest request_;
    std::string requestId_;
    /// Whether it may be sent again when its response is lost.
    bool repeatable_ = false;
    /// No retry starts after this time; also the first-byte timeout of each attempt.
    Duration timeout_ = std::chrono::seconds(60);
};

/// A response and the `IP:port` of the entry that sent it.
struct EntryResponse
{
    HttpResponse response_;
    std::string address_;
};

/// Makes one attempt; the verdict of a failure says whether the request may have run.
using AttemptFunction = std::function<Result<HttpResponse>(HttpCall)>;

/// Sends a request to an entry chosen by weight from the fleet's list and retries transient
/// failures on the others.
class RequestSender
{
public:
    RequestSender(EntryCaller &caller, AttemptFunction attempt);

    /// Returns the final response; the verdict of a failure says whether the request may have run.
    auto send(const OutgoingRequest &outgoing) -> Result<EntryResponse>;

private:
    auto fetchShuffledEntries() -> Result<std::vector<std::string>>;
    auto attemptAtEntry(const std::string &address, const OutgoingRequest &outgoing)
        -> Result<HttpResponse>;

    EntryCaller &caller_;
    AttemptFunction attempt_;
};

} // namespace lycheereach
