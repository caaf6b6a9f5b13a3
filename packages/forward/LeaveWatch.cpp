#include "forward/LeaveWatch.h"

namespace lycheereach {

namespace {

/// A request counts as ended when its answer was handed to the server, which has so long to send
/// it.
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
