#include "forward/LeaveWatch.h"

namespace lycheereach {

namespace {

/// Time for the HTTP server to send a response; the request no longer counts as active once the
/// server has the response.
constexpr auto responseSendTime = std::chrono::milliseconds(400);

} // namespace

LeaveWatch::LeaveWatch(Duration addressHoldTime, MonotonicTime leaveStartedAt)
    : addressHeldUntil_(leaveStartedAt + addressHoldTime)
    , idleSince_(leaveStartedAt)
{ }

auto LeaveWatch::mayEnd(std::size_t active, MonotonicTime now) -> bool
{
    if (active != 0)
        idleSince_ = now;
    return now >= addressHeldUntil_ && now - idleSince_ >= responseSendTime;
}

} // namespace lycheereach
