/// \file
/// \brief Message `permit.answer`: the answer to a PermitTake.
#pragma once

#include "base/JsonCodec.h"
#include "routing/Permit.h"
#include "routing/PermitRefusal.h"

#include <optional>

namespace lycheereach {

/// Message `permit.answer`: a permit or its refusal.
struct PermitAnswer
{
    /// PermitTake::number_ of the message that this answers.
    std::uint64_t number_ = 0;
    std::optional<Permit> permit_;
    std::optional<PermitRefusal> refusal_;

    auto operator==(const PermitAnswer &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("number", &PermitAnswer::number_),
                          field("permit", &PermitAnswer::permit_),
                          field("refusal", &PermitAnswer::refusal_)};
    }
};

} // namespace lycheereach
