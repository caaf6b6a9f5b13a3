/// \file
/// \brief What a ControlService needs from its process.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <functional>
#include <string>
#include <vector>

namespace lycheereach {

/// What a ControlService needs from its process. What sends may be called under the control lock.
struct ControlHooks
{
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    /// As send_, in place of an earlier message of the method that still waits for a connection.
    std::function<void(const EntryId &to, const std::string &method, Json params)> sendLatest_;
    /// As send_, to several peers.
    std::function<void(const std::vector<EntryId> &to, const std::string &method, Json params)>
        sendAll_;
    /// Says where a peer is.
    std::function<void(const EntryId &peer, const std::string &address)> setPeer_;
    /// Runs something soon, outside of every lock.
    std::function<void(std::function<void()>)> post_;
    /// The replicated state has changed; called through post_.
    std::function<void()> stateChanged_;
    EventSink event_;
    MonotonicClock now_;
    WallClock wallNow_;
    RandomSource random_;
};

} // namespace lycheereach
