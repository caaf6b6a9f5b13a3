/// \file
/// \brief Callbacks through which a ControlService reaches the network, the clocks and the caller.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <functional>
#include <string>
#include <vector>

namespace lycheereach {

/// Callbacks that the process supplies to its ControlService. The three send callbacks may be
/// called while the lock of the ControlService is held.
struct ControlHooks
{
    /// Sends a message to a peer.
    std::function<void(const EntryId &to, const std::string &method, Json params)> send_;
    /// Like send_, but replaces an earlier message of the same method that is still queued because
    /// the peer is not connected.
    std::function<void(const EntryId &to, const std::string &method, Json params)>
        sendReplacingQueued_;
    /// Like send_, to several peers.
    std::function<void(const std::vector<EntryId> &to, const std::string &method, Json params)>
        sendAll_;
    /// Sets the network address of a peer.
    std::function<void(const EntryId &peer, const std::string &address)> setPeerAddress_;
    /// Queues a function to run asynchronously, without any lock held.
    std::function<void(std::function<void()>)> post_;
    /// Called through post_ after the replicated state has changed; several changes may share one
    /// call.
    std::function<void()> onStateChanged_;
    EventSink event_;
    /// Measures the work that depends on the size of the state; optional.
    WorkMeasure measure_;
    MonotonicClock now_;
    WallClock wallNow_;
    RandomSource random_;
};

} // namespace lycheereach
