/// \file
/// \brief An upstream as the control state knows it; load is left out, it changes too often.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "state/Announcement.h"

namespace lycheereach {

/// An upstream as the control state knows it; load is left out, it changes too often.
struct Upstream
{
    /// The last announcement that differed in more than load.
    Announcement announced_;
    /// The entry that hears its announcements.
    EntryId watcher_;
    /// Silent for too long.
    bool lost_ = false;
    /// An operator wants it empty.
    bool draining_ = false;
    /// This incarnation has deregistered, whatever it announces later.
    bool retired_ = false;
    /// The record since which it gets no new work; 0 while it may get some.
    LogIndex withdrawnIndex_ = 0;

    auto operator==(const Upstream &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("announced", &Upstream::announced_),
                          optionalField("watcher", &Upstream::watcher_),
                          optionalField("lost", &Upstream::lost_),
                          optionalField("draining", &Upstream::draining_),
                          optionalField("retired", &Upstream::retired_),
                          optionalField("withdrawnIndex", &Upstream::withdrawnIndex_)};
    }
};

} // namespace lycheereach
