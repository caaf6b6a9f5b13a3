/// \file
/// \brief Message `permit.take`: an entry asks a leaseholder for a permit.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>

namespace lycheereach {

/// Message `permit.take`: an entry asks a leaseholder for a permit.
struct PermitTake
{
    /// Numbers the messages of an entry; the answer repeats it.
    std::uint64_t number_ = 0;
    GroupId group_;
    /// Different in each message; only a message that is sent again repeats it.
    AttemptId attempt_;
    /// Fingerprint of a request suspected of crashing upstreams; empty for other requests.
    std::string suspectFingerprint_;

    auto operator==(const PermitTake &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &PermitTake::number_),
                          field("group", &PermitTake::group_),
                          field("attempt", &PermitTake::attempt_),
                          optionalField("suspect", &PermitTake::suspectFingerprint_)};
    }
};

} // namespace lycheereach
