/// \file
/// \brief The peer message that shares a CrashReport.
#pragma once

#include "requests/CrashReport.h"

#include <cstdint>

namespace lycheereach {

/// Message `crash.report`; the receiver acknowledges with `crash.known` and the same number.
struct CrashNotice
{
    std::uint64_t number_ = 0;
    CrashReport report_;

    auto operator==(const CrashNotice &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &CrashNotice::number_),
                          field("crash", &CrashNotice::report_)};
    }
};

} // namespace lycheereach
