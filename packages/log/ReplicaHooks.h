/// \file
/// \brief The callbacks of a Replica.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/Time.h"
#include "log/LogRecord.h"

#include <functional>
#include <string>

namespace lycheereach {

/// The callbacks run within calls to Replica and must not call it.
struct ReplicaHooks
{
    /// Sends a message to another replica; it may be lost, duplicated or reordered.
    std::function<void(const EntryId &to, const Json &message)> send_;
    /// Applies one committed record. Records come in order, each once per process lifetime. They
    /// include those that are not commands, so that a caller that waits for a LogPosition sees
    /// whether the record at its index has its term; these leave the state machine unchanged.
    std::function<void(const LogRecord &record)> apply_;
    /// Returns the whole state of the state machine after the last applied record, as UTF-8 text.
    std::function<std::string()> takeSnapshot_;
    /// Replaces the state of the state machine by \a snapshot, taken at \a index. Proposals up to
    /// \a index that apply_ has not received have an unknown outcome.
    std::function<void(LogIndex index, const std::string &snapshot)> restore_;
    RandomSource random_;
    EventSink event_;
    /// Measures snapshots and syncs; optional.
    WorkMeasure measure_;
};

} // namespace lycheereach
