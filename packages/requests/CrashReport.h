/// \file
/// \brief Reports which requests were in flight when an upstream crashed.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>
#include <vector>

namespace lycheereach {

/// The requests that one entry had in flight when an upstream crashed. Reports of several entries
/// about one crash have the same target and epoch.
struct CrashReport
{
    /// The name of the serving group, or the id of the service instance.
    std::string target_;
    /// The epoch of the group or the incarnation of the service instance that crashed.
    Epoch epoch_ = 0;
    /// requestDigest() of each request.
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
