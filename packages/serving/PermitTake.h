/// \file
/// \brief Message: an entry asks a leaseholder for a permit.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>

namespace lycheereach {

/// Message `permit.take`: an entry asks a leaseholder for a permit.
struct PermitTake
{
    std::uint64_t number_ = 0;
    GroupId group_;
    /// A new one for each ask; only a message sent again repeats it.
    AttemptId attempt_;
    /// Of a suspect; empty for other requests.
    std::string suspect_;

    auto operator==(const PermitTake &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &PermitTake::number_),
                          field("group", &PermitTake::group_),
                          field("attempt", &PermitTake::attempt_),
                          optionalField("suspect", &PermitTake::suspect_)};
    }
};

} // namespace lycheereach
