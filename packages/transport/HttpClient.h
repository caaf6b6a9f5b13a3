/// \file
/// \brief An HTTP client on libcurl.
#pragma once

#include "base/ErrorCode.h"
#include "base/Result.h"
#include "transport/HttpCall.h"
#include "transport/HttpClientSettings.h"

#include <cstdint>
#include <memory>

namespace lycheereach {

/// Names a call in progress.
using HttpCallId = std::uint64_t;

/// Makes many calls at once from one thread of its own. Thread-safe.
class HttpClient
{
public:
    explicit HttpClient(HttpClientSettings settings = {});
    /// Ends every call with Error::ShuttingDown.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /// Starts a call; never blocks.
    auto start(HttpCall call, HttpCallHooks hooks) -> HttpCallId;
    /// Closes the connection of a call, which ends with \a reason.
    auto cancel(HttpCallId id, Error reason = Error::Cancelled) -> void;
    /// Makes a call and waits for its whole answer; not from a hook.
    auto fetch(HttpCall call) -> Result<HttpResponse>;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lycheereach
