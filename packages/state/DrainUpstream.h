/// \file
/// \brief Command: give an upstream no new work, or give it work again.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>
#include <string>

namespace lycheereach {

/// Command: give an upstream no new work, or give it work again.
struct DrainUpstream
{
    OperationId operation_;
    std::string who_;
    std::int64_t atMs_ = 0;
    UpstreamId upstream_;
    bool draining_ = true;

    auto operator==(const DrainUpstream &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("operation", &DrainUpstream::operation_),
                          optionalField("who", &DrainUpstream::who_),
                          optionalField("atMs", &DrainUpstream::atMs_),
                          field("upstream", &DrainUpstream::upstream_),
                          field("draining", &DrainUpstream::draining_)};
    }
};

} // namespace lycheereach
