/// \file
/// \brief Functions that a CrashWatch calls in its process.
#pragma once

#include "base/Event.h"
#include "base/JsonCodec.h"
#include "base/Time.h"
#include "forward/ForwardTarget.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lycheereach {

class Timer;

/// Functions that a CrashWatch calls in its process.
struct CrashWatchHooks
{
    /// Finds out over a new connection whether the process that was \a target has ended; nothing
    /// when neither it nor its system answers.
    std::function<void(const ForwardTarget &target,
                       std::function<void(std::optional<bool> hasEnded)> done)>
        probe_;
    /// Calls \a work after \a delay unless the timer is dropped before.
    std::function<std::shared_ptr<Timer>(Duration delay, std::function<void()> work)> after_;
    /// Whether an upstream is known to leave as planned, so that its end is no crash.
    std::function<bool(const ForwardTarget &target)> isLeaving_;
    /// Sends a message to every control process.
    std::function<void(const std::string &method, Json params)> send_;
    EventSink event_;
    MonotonicClock now_;
};

} // namespace lycheereach
