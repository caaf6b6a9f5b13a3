/// \file
/// \brief What an announcement did.
#pragma once

namespace lycheereach {

/// What an announcement did.
enum class AnnouncementEffect {
    /// Older than one heard before, or a duplicate: nothing.
    Stale,
    /// The upstream lives; at most its load changed.
    LoadOnly,
    /// Something changed that the control state keeps; propose PutUpstream.
    Changed,
};

} // namespace lycheereach
