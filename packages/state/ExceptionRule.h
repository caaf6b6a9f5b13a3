/// \file
/// \brief A deviation from the defaults with its written reason.
#pragma once

#include "base/JsonCodec.h"
#include "state/ExceptionMatch.h"
#include "state/PolicyOverride.h"

#include <string>

namespace lycheereach {

/// A deviation from the defaults with its written reason.
struct ExceptionRule
{
    ExceptionMatch match_;
    PolicyOverride set_;
    /// Must not be empty.
    std::string reason_;

    auto operator==(const ExceptionRule &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("match", &ExceptionRule::match_),
                          field("set", &ExceptionRule::set_),
                          field("reason", &ExceptionRule::reason_)};
    }
};

} // namespace lycheereach
