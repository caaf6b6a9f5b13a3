/// \file
/// \brief A customer's workspace with its share and budget.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// A customer's workspace with its share and budget.
struct Workspace
{
    WorkspaceName name_;
    /// The share under load, relative to the other workspaces.
    std::uint32_t weight_ = 1;
    /// The budget over the whole fleet; none when left out.
    std::optional<double> requestsPerSecond_;
    /// The most requests that a rested budget allows at once.
    std::optional<double> burst_;
    /// SHA-256 of each key in hexadecimal; a caller who shows the key is of this workspace.
    std::vector<std::string> keyDigests_;
    /// Goes before the priority of a route; 0 is the most urgent.
    std::optional<std::uint32_t> priority_;

    auto operator==(const Workspace &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("name", &Workspace::name_),
                          optionalField("weight", &Workspace::weight_),
                          optionalField("requestsPerSecond", &Workspace::requestsPerSecond_),
                          optionalField("burst", &Workspace::burst_),
                          optionalField("keyDigests", &Workspace::keyDigests_),
                          optionalField("priority", &Workspace::priority_)};
    }
};

} // namespace lycheereach
