#include "forward/ShutdownGate.h"

namespace lycheereach {

namespace {

/// Time for the HTTP server to send a response; the request no longer counts as active once the
/// server has the response.
constexpr auto responseSendTime = std::chrono::milliseconds(400);

} // namespace

ShutdownGate::ShutdownGate(Duration addressHoldTime, MonotonicTime leaveStartedAt)
    : addressHeldUntil_(leaveStartedAt + addressHoldTime)
    , idleSince_(leaveStartedAt)
{ }

auto ShutdownGate::mayExit(std::size_t active, MonotonicTime now) -> bool
{
    if (active != 0)
        idleSince_ = now;
    return now >= addressHeldUntil_ && now - idleSince_ >= responseSendTime;
}

} // namespace lycheereach
