/// \file
/// \brief Expires old claims on the control leader.
#pragma once

#include "base/Time.h"

#include <optional>

namespace lycheereach {

class ControlService;

/// Proposes ExpireClaims on the control leader, for claims older than the retention time of the
/// declaration. Not thread-safe.
class ClaimExpiry
{
public:
    ClaimExpiry(ControlService &control, MonotonicClock now, WallClock wallNow);

    /// Proposes at most once a minute, when there are claims to expire.
    auto tick() -> void;

private:
    ControlService &control_;
    MonotonicClock now_;
    WallClock wallNow_;
    /// When the state was last checked for claims to expire.
    std::optional<MonotonicTime> proposedAt_;
};

} // namespace lycheereach
