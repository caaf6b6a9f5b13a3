#include "forward/ShutdownGate.h"

namespace lycheereach {

namespace {

/// Time for the HTTP server to take a response, which counts as unsent from then on, and for the
/// system to send its last bytes.
constexpr auto responseSendTime = std::chrono::milliseconds(400);

} // namespace

ShutdownGate::ShutdownGate(Duration addressHoldTime, MonotonicTime leaveStartedAt)
    : addressHeldUntil_(leaveStartedAt + addressHoldTime)
    , idleSince_(leaveStartedAt)
{ }

auto ShutdownGate::mayExit(bool isActive, MonotonicTime now) -> bool
{
    if (isActive)
        idleSince_ = now;
    return now >= addressHeldUntil_ && now - idleSince_ >= responseSendTime;
}

} // namespace lycheereach
