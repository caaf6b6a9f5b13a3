/// \file
/// \brief Command: an upstream announced something new; an older announcement changes nothing.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/Announcement.h"

namespace lycheereach {

/// Command: an upstream announced something new; an older announcement changes nothing.
struct PutUpstream
{
    Announcement announced_;
    EntryId watcher_;

    auto operator==(const PutUpstream &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("announced", &PutUpstream::announced_),
                          field("watcher", &PutUpstream::watcher_)};
    }
};

} // namespace lycheereach
