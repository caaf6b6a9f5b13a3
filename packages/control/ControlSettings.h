/// \file
/// \brief The settings of a ControlService.
#pragma once

#include "base/Time.h"
#include "state/EntryRecord.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lycheereach {

/// Identity, intervals and limits of a ControlService.
struct ControlSettings
{
    /// The record under which this entry registers in the replicated state.
    EntryRecord ownRecord_;
    /// The voters that found the cluster; also the processes that an entry renews with
    /// while its state is empty.
    std::vector<EntryId> initialVoters_;
    /// How long a granted state lease lasts.
    Duration stateLeaseDuration_ = std::chrono::seconds(3);
    /// The interval between renewals of the state lease while this process may take work.
    Duration renewalInterval_ = std::chrono::milliseconds(500);
    /// The longest renewal interval while this process has yet to confirm the withdrawal of an
    /// upstream, which waits for that.
    Duration confirmationInterval_ = std::chrono::milliseconds(100);
    /// The interval between renewals while this process may not take work: it holds no valid lease
    /// or has not applied the required index.
    Duration renewalIntervalWithoutLease_ = std::chrono::milliseconds(500);
    /// The leader marks an entry as lost after this time without a renewal. Must be longer than
    /// the state lease; when not set, twice the state lease.
    std::optional<Duration> entryLostTimeout_;
    /// How many relays an entry without a log renews with in round-robin order. With more than one
    /// it still receives changes while one of them is cut off from the leader.
    std::size_t grantorsInRotation_ = 1;
    /// The interval between checks whether this entry has to register itself, and the timeout of a
    /// registration.
    Duration registrationInterval_ = std::chrono::milliseconds(500);
    /// The heartbeat interval of the log's leader.
    Duration logHeartbeatInterval_ = std::chrono::milliseconds(100);
    /// A replica starts an election after one to two times this duration without a leader.
    Duration logElectionTimeout_ = std::chrono::milliseconds(600);
    /// The number of voters that the leader maintains by adding instances and replacing lost ones;
    /// 0 disables changes of the voters.
    std::size_t targetVoterCount_ = 0;
    /// Whether the loss of a whole zone is to be borne, so that the leader reports when it would
    /// not be.
    bool toleratesZoneLoss_ = false;
    /// Whether this process connects to entries without a log as well. When false, it relies on
    /// those entries to connect to it.
    bool connectsToEntriesWithoutLog_ = true;
    /// The log takes a snapshot after this many applied records.
    std::size_t snapshotAfterRecords_ = 2000;
    /// A proposal fails when its outcome is not known after this time.
    Duration proposalTimeout_ = std::chrono::seconds(6);
    /// A forwarded proposal without an answer is sent again after this time.
    Duration proposalResendInterval_ = std::chrono::milliseconds(800);
};

} // namespace lycheereach
