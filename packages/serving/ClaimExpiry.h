/// \file
/// \brief Has the control leader forget old claims.
#pragma once

#include "base/Time.h"

#include <optional>

namespace lycheereach {

class ControlService;

/// Proposes ExpireClaims on the control leader with the retention of the declaration. To be used
/// by one thread at a time.
class ClaimExpiry
{
public:
    ClaimExpiry(ControlService &control, MonotonicClock now, WallClock wallNow);

    /// Proposes once in a while, when there are claims.
    auto tick() -> void;

private:
    ControlService &control_;
    MonotonicClock now_;
    WallClock wallNow_;
    std::optional<MonotonicTime> proposedAt_;
};

} // namespace lycheereach
