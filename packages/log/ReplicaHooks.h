/// \file
/// \brief What a Replica needs from its process.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/Time.h"
#include "log/LogRecord.h"

#include <functional>
#include <string>

namespace lycheereach {

/// Called from within the calls of Replica; must not call it back.
struct ReplicaHooks
{
    /// Sends a message to another replica; it may get lost, come twice or out of order.
    std::function<void(const EntryId &to, const Json &message)> send_;
    /// Takes the committed records in order, each once in the life of the process. Records that
    /// are not commands come with them, so that a caller who waits for a LogPosition sees whether
    /// the record at its index has its term; they leave the state machine unchanged.
    std::function<void(const LogRecord &record)> apply_;
    /// The whole state after the last applied record, as UTF-8 text.
    std::function<std::string()> takeSnapshot_;
    /// Replaces the state. Proposals up to \a index that were not seen in apply_ have an unknown
    /// outcome.
    std::function<void(LogIndex index, const std::string &snapshot)> restore_;
    RandomSource random_;
    EventSink event_;
};

} // namespace lycheereach
