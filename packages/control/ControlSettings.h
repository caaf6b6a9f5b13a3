/// \file
/// \brief The settings of a ControlService.
#pragma once

#include "base/Time.h"
#include "state/EntryRecord.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lycheereach {

/// The settings of a ControlService.
struct ControlSettings
{
    /// This entry as it registers itself.
    EntryRecord self_;
    /// The first voters; where an entry asks while it knows no state.
    std::vector<EntryId> voters_;
    Duration stateLease_ = std::chrono::seconds(3);
    Duration renewEvery_ = std::chrono::milliseconds(500);
    /// As renewEvery_, while an upstream waits for this process to confirm that it is withdrawn.
    Duration confirmAfter_ = std::chrono::milliseconds(100);
    /// As renewEvery_, while this process has no live lease.
    Duration renewWithoutLease_ = std::chrono::milliseconds(500);
    /// An entry is lost when it renewed with no process for so long, which is longer than its
    /// lease; twice the state lease when not set.
    std::optional<Duration> entryPatience_;
    /// How many relays an entry without a log renews with in turn. With more than one it hears of
    /// changes from the others while one of them is cut off from the leader.
    std::size_t grantors_ = 1;
    /// The pause between tries to register.
    Duration registerEvery_ = std::chrono::milliseconds(500);
    Duration logHeartbeat_ = std::chrono::milliseconds(100);
    Duration logElection_ = std::chrono::milliseconds(600);
    /// How many voters the leader keeps, replacing those that are lost; 0 leaves the voters alone.
    std::size_t voterTarget_ = 0;
    /// Whether processes also connect to entries without a log; those connect to the others.
    bool connectsEntries_ = true;
    /// The log takes a snapshot after this many applied records.
    std::size_t snapshotAfterRecords_ = 2000;
    /// A proposal without an outcome is given up after this time.
    Duration proposalTimeout_ = std::chrono::seconds(6);
    /// A proposal without an answer is sent again after this time.
    Duration proposalResend_ = std::chrono::milliseconds(800);
};

} // namespace lycheereach
