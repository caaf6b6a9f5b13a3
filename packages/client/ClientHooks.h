/// \file
/// \brief Network, clocks and randomness, replaceable in tests.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "transport/HttpCall.h"

#include <functional>
#include <string_view>

namespace lycheereach {

/// Receives one chunk of a streamed response body.
using BodyChunkSink = std::function<void(std::string_view)>;

/// Every access of the commands to network, clocks and randomness.
struct ClientHooks
{
    /// Makes a call and blocks until the whole response is there; the verdict of a failure says
    /// whether the request may have run.
    std::function<Result<HttpResponse>(HttpCall)> fetch_;
    /// As fetch_, but passes each body chunk of a response with status 200 to the sink as it
    /// arrives.
    std::function<Result<HttpResponse>(HttpCall, const BodyChunkSink &)> stream_;
    std::function<void(Duration)> sleep_;
    MonotonicClock clock_;
    WallClock wallClock_;
    RandomSource random_;
};

/// Returns \a prefix followed by 128 random bits in hexadecimal.
auto randomId(const ClientHooks &hooks, const char *prefix) -> std::string;

} // namespace lycheereach
