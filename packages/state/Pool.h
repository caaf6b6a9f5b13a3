/// \file
/// \brief A pool of engines that serve one model in groups of equal size.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheereach {

/// A pool of engines that serve one model in groups of equal size.
struct Pool
{
    PoolName name_;
    /// What callers name as `model` and engines load.
    std::string model_;
    std::uint32_t instancesPerGroup_ = 1;
    /// How many groups to form at most; 0 forms as many as fit.
    std::uint32_t groups_ = 0;
    /// Where groups may be; empty means everywhere.
    std::vector<ZoneName> zones_;
    /// The engines that the pool draws from, which other pools may share; its own name when empty.
    PoolName engines_;
    /// The part of all work on the shared engines that is expected for this pool; 0 when unknown.
    double share_ = 0;
    /// A factor on the times of an engine that serves this model.
    double pace_ = 1;

    auto operator==(const Pool &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("name", &Pool::name_),
                          field("model", &Pool::model_),
                          field("instancesPerGroup", &Pool::instancesPerGroup_),
                          optionalField("groups", &Pool::groups_),
                          optionalField("zones", &Pool::zones_),
                          optionalField("engines", &Pool::engines_),
                          optionalField("share", &Pool::share_),
                          optionalField("pace", &Pool::pace_)};
    }
};

} // namespace lycheereach
