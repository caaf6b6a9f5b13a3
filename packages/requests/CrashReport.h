/// \file
/// \brief The requests of one entry in flight when an upstream crashed.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>
#include <vector>

namespace lycheereach {

/// The requests of one entry in flight when an upstream crashed. Reports of several entries over
/// one crash have the same target and epoch.
struct CrashReport
{
    /// The group or service instance.
    std::string target_;
    /// The epoch of the group or the incarnation of the service instance that crashed.
    Epoch epoch_ = 0;
    std::vector<std::string> fingerprints_;

    auto operator==(const CrashReport &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("target", &CrashReport::target_),
                          field("epoch", &CrashReport::epoch_),
                          field("fingerprints", &CrashReport::fingerprints_)};
    }
};

} // namespace lycheereach
