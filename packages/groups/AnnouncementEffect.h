/// \file
/// \brief What a received announcement changed.
#pragma once

namespace lycheereach {

/// What a received announcement changed.
enum class AnnouncementEffect {
    /// Nothing: it is a duplicate, or older than one received before.
    Stale,
    /// At most the load of the upstream, and when it was last heard.
    LoadOnly,
    /// Something that the replicated state holds; PutUpstream must be proposed.
    Changed,
};

} // namespace lycheereach
