/// \file
/// \brief The messages between replicas.
#pragma once

#include "log/LogSnapshot.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheereach {

/// Sent by an initial voter to the other initial voters while it belongs to no cluster.
struct Greeting
{
    /// The receiver's generation as known to the sender; 0 if unknown.
    std::uint64_t echoedGeneration_ = 0;

    auto operator==(const Greeting &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("echo", &Greeting::echoedGeneration_)};
    }
};

/// Makes the receiver a member of the sender's cluster if it belongs to none.
struct BootstrapReply
{
    /// The voters in the first record of the log; empty if the sender's log no longer holds that
    /// record.
    VoterSet voters_;

    auto operator==(const BootstrapReply &) const -> bool = default;
    static constexpr auto fields() { return std::tuple{field("voters", &BootstrapReply::voters_)}; }
};

/// Asks for a vote or, as a pre-vote, whether the receiver would grant one; the message's term is
/// the term of the election.
struct VoteRequest
{
    bool isPreVote_ = false;
    /// The last position of the candidate's log.
    LogPosition lastPosition_;
    /// The candidate's current restart probe if it has neither led nor followed a leader since its
    /// process started (see LogCore::sendRestartProbe()); otherwise 0.
    std::uint64_t restartRound_ = 0;

    auto operator==(const VoteRequest &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("preVote", &VoteRequest::isPreVote_),
                          field("last", &VoteRequest::lastPosition_),
                          optionalField("start", &VoteRequest::restartRound_)};
    }
};

/// Answers a VoteRequest; if granted, the message's term is that of the request.
struct VoteReply
{
    bool isPreVote_ = false;
    bool granted_ = false;
    /// Copied from the request if the sender of the reply, too, has neither led nor followed a
    /// leader since its process started; otherwise 0.
    std::uint64_t restartRound_ = 0;

    auto operator==(const VoteReply &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("preVote", &VoteReply::isPreVote_),
                          field("granted", &VoteReply::granted_),
                          optionalField("start", &VoteReply::restartRound_)};
    }
};

/// Records from the leader; a heartbeat if there are none.
struct AppendRequest
{
    /// The position right before the first record.
    LogPosition previousPosition_;
    LogIndex commitIndex_ = 0;
    /// The leader's monotonic clock in nanoseconds, sent back in the reply.
    std::int64_t sentAt_ = 0;
    std::vector<LogRecord> records_;

    auto operator==(const AppendRequest &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("previous", &AppendRequest::previousPosition_),
                          field("commit", &AppendRequest::commitIndex_),
                          field("sentAt", &AppendRequest::sentAt_),
                          field("records", &AppendRequest::records_)};
    }
};

/// Answers an AppendRequest or an InstallRequest.
struct AppendReply
{
    bool accepted_ = false;
    /// The index before the first record of the request.
    LogIndex previousIndex_ = 0;
    /// If accepted, the last index up to which the synced log equals the leader's; otherwise the
    /// index after which the leader may try to append next.
    LogIndex matchIndex_ = 0;
    /// Copied from the request.
    std::int64_t sentAt_ = 0;
    /// The records or the snapshot were not stored because the disk is full.
    bool diskFull_ = false;

    auto operator==(const AppendReply &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("accepted", &AppendReply::accepted_),
                          field("previous", &AppendReply::previousIndex_),
                          field("match", &AppendReply::matchIndex_),
                          field("sentAt", &AppendReply::sentAt_),
                          field("full", &AppendReply::diskFull_)};
    }
};

/// A whole snapshot from the leader.
struct InstallRequest
{
    LogSnapshot snapshot_;
    /// As in AppendRequest.
    std::int64_t sentAt_ = 0;

    auto operator==(const InstallRequest &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("snapshot", &InstallRequest::snapshot_),
                          field("sentAt", &InstallRequest::sentAt_)};
    }
};

using LogMessageBody = std::variant<Greeting, BootstrapReply, VoteRequest, VoteReply, AppendRequest,
                                    AppendReply, InstallRequest>;

/// A message body with the fields that are common to all messages.
struct LogMessage
{
    /// The id of the sender's cluster; empty while it belongs to none.
    std::string cluster_;
    /// The generation of the sender.
    std::uint64_t generation_ = 0;
    Term term_ = 0;
    LogMessageBody body_;

    auto operator==(const LogMessage &) const -> bool = default;
};

/// Encodes \a message as JSON.
auto encodeMessage(const LogMessage &message) -> Json;
/// The inverse of encodeMessage().
auto decodeMessage(const Json &json) -> Result<LogMessage>;

} // namespace lycheereach
