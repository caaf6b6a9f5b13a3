/// \file
/// \brief Message: a CrashReport for another entry.
#pragma once

#include "requests/CrashReport.h"

#include <cstdint>

namespace lycheereach {

/// Message `crash.report`, answered with `crash.known` and the same number.
struct CrashNotice
{
    std::uint64_t number_ = 0;
    CrashReport crash_;

    auto operator==(const CrashNotice &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &CrashNotice::number_),
                          field("crash", &CrashNotice::crash_)};
    }
};

} // namespace lycheereach
