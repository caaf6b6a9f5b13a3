/// \file
/// \brief Command: the watcher no longer hears an upstream; another watcher or incarnation voids
/// it.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

namespace lycheereach {

/// Command: the watcher no longer hears an upstream; another watcher or incarnation voids it.
struct LoseUpstream
{
    UpstreamId upstream_;
    Incarnation incarnation_ = 0;
    /// Empty when the watcher itself was lost.
    EntryId watcher_;

    auto operator==(const LoseUpstream &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("upstream", &LoseUpstream::upstream_),
                          field("incarnation", &LoseUpstream::incarnation_),
                          optionalField("watcher", &LoseUpstream::watcher_)};
    }
};

} // namespace lycheereach
