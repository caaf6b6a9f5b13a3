/// \file
/// \brief A member of a group and the address of its HTTP server.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>

namespace lycheereach {

/// A member of a group and the address of its HTTP server.
struct MemberAddress
{
    UpstreamId upstream_;
    std::string address_;

    auto operator==(const MemberAddress &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &MemberAddress::upstream_),
                          field("address", &MemberAddress::address_)};
    }
};

} // namespace lycheereach
