/// \file
/// \brief What an upstream is.
#pragma once

#include "base/JsonCodec.h"

#include <array>

namespace lycheereach {

/// What an upstream is.
enum class UpstreamKind {
    /// A member of serving groups.
    Engine,
    /// A plain service, which serves by itself.
    Service,
};

template <>
struct EnumNames<UpstreamKind>
{
    static constexpr auto names()
    {
        using Pair = std::pair<UpstreamKind, const char *>;
        return std::array{Pair{UpstreamKind::Engine, "engine"},
                          Pair{UpstreamKind::Service, "service"}};
    }
};

} // namespace lycheereach
