/// \file
/// \brief What a LeaseholderService needs from its process.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/Time.h"

#include <functional>
#include <string>

namespace lycheereach {

struct LoadReport;

/// What a LeaseholderService needs from its process.
struct LeaseholderHooks
{
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    /// Whether a suspect may start at a group, and that it no longer runs there.
    std::function<bool(const GroupId &, const std::string &fingerprint)> admitSuspect_;
    std::function<void(const GroupId &, const std::string &fingerprint)> suspectLeft_;
    /// The loads of the groups held here, for this process itself.
    std::function<void(const LoadReport &)> loads_;
    /// Whether an upstream that was not heard for three quarters of its silence timeout is known to
    /// serve all the same, so that it does not count as lost. Without the hook it does not.
    std::function<bool(const UpstreamId &)> servesUnheard_;
    EventSink event_;
    MonotonicClock now_;
};

} // namespace lycheereach
