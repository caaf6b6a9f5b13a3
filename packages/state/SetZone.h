/// \file
/// \brief Command: take an availability zone out or bring it back.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// Command: take an availability zone out or bring it back.
struct SetZone
{
    OperationId operation_;
    std::string who_;
    std::int64_t atMs_ = 0;
    ZoneName zone_;
    bool out_ = false;

    auto operator==(const SetZone &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("operation", &SetZone::operation_),
                          optionalField("who", &SetZone::who_),
                          optionalField("atMs", &SetZone::atMs_), field("zone", &SetZone::zone_),
                          field("out", &SetZone::out_)};
    }
};

} // namespace lycheereach
