/// \file
/// \brief One route of a plain service.
#pragma once

#include "base/JsonCodec.h"

#include <string>
#include <vector>

namespace lycheereach {

/// One route of a plain service.
struct ServiceRoute
{
    /// A prefix of the path behind the name of the service.
    std::string path_;
    /// Empty means every method.
    std::vector<std::string> methods_;
    /// Whether a call may run more than once.
    bool repeatable_ = false;

    auto operator==(const ServiceRoute &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("path", &ServiceRoute::path_),
                          optionalField("methods", &ServiceRoute::methods_),
                          field("repeatable", &ServiceRoute::repeatable_)};
    }
};

} // namespace lycheereach
