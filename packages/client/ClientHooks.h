/// \file
/// \brief What the commands need from outside.
#pragma once

#include "base/Result.h"
#include "base/Time.h"
#include "transport/HttpCall.h"

#include <functional>
#include <string_view>

namespace lycheereach {

/// Takes a part of a streamed answer.
using PartSink = std::function<void(std::string_view)>;

/// Network, clocks and randomness of the commands.
struct ClientHooks
{
    /// Makes a call and waits for its whole answer; the verdict of a failure says whether the
    /// request may have run.
    std::function<Result<HttpResponse>(HttpCall)> fetch_;
    /// As fetch_, but hands over each part of the answer with status 200 as it arrives.
    std::function<Result<HttpResponse>(HttpCall, const PartSink &)> stream_;
    std::function<void(Duration)> sleep_;
    MonotonicClock clock_;
    WallClock wallClock_;
    RandomSource random_;
};

/// A random identifier that begins with \a prefix.
auto randomId(const ClientHooks &hooks, const char *prefix) -> std::string;

} // namespace lycheereach
