#include "forward/LeaveWatch.h"

namespace lycheereach {

namespace {

/// A request counts as ended when its answer was handed to the server, which has so long to send
/// it.
constexpr auto sendTime = std::chrono::milliseconds(400);

} // namespace

LeaveWatch::LeaveWatch(Duration addressKept, MonotonicTime began)
    : addressKeptUntil_(began + addressKept)
    , idleSince_(began)
{ }

auto LeaveWatch::mayEnd(std::size_t active, MonotonicTime now) -> bool
{
    if (active != 0)
        idleSince_ = now;
    return now >= addressKeptUntil_ && now - idleSince_ >= sendTime;
}

} // namespace lycheereach
