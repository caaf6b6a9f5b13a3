/// \file
/// \brief The messages between replicas.
#pragma once

#include "log/LogSnapshot.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lycheereach {

/// A blank replica of the initial voters greets the others.
struct Greeting
{
    /// The generation that the sender knows of the receiver; 0 for none.
    std::uint64_t echoedGeneration_ = 0;

    auto operator==(const Greeting &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("echo", &Greeting::echoedGeneration_)};
    }
};

/// Makes a blank voter part of the sender's cluster.
struct BootstrapReply
{
    /// Of the founding record; empty when the sender's log no longer holds it.
    VoterSet voters_;

    auto operator==(const BootstrapReply &) const -> bool = default;
    static constexpr auto fields() { return std::tuple{field("voters", &BootstrapReply::voters_)}; }
};

/// Asks for a vote, or for the prospect of one; the message's term is the one stood for.
struct VoteRequest
{
    bool isPreVote_ = false;
    /// The last position of the candidate's log.
    LogPosition lastPosition_;
    /// Not 0 where the candidate has neither led nor followed since its process started: the number
    /// of its attempt to elect a leader among voters that have all just started.
    std::uint64_t restartRound_ = 0;

    auto operator==(const VoteRequest &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("preVote", &VoteRequest::isPreVote_),
                          field("last", &VoteRequest::lastPosition_),
                          optionalField("start", &VoteRequest::restartRound_)};
    }
};

/// Answers a VoteRequest; the message's term is the one asked for when granted.
struct VoteReply
{
    bool isPreVote_ = false;
    bool granted_ = false;
    /// As in the request, where the same is true of the sender; otherwise 0.
    std::uint64_t restartRound_ = 0;

    auto operator==(const VoteReply &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("preVote", &VoteReply::isPreVote_),
                          field("granted", &VoteReply::granted_),
                          optionalField("start", &VoteReply::restartRound_)};
    }
};

/// Records from the leader; without records a heartbeat.
struct AppendRequest
{
    /// The position before the first record.
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
    /// Accepted: the last index that is synced and equal to the leader's. Otherwise: where the
    /// leader may try next.
    LogIndex matchIndex_ = 0;
    std::int64_t sentAt_ = 0;
    /// The records were not taken because the disk is full.
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

/// A message with what every one carries.
struct LogMessage
{
    /// The cluster of the sender; empty while it is blank.
    std::string cluster_;
    /// The generation of the sender.
    std::uint64_t generation_ = 0;
    Term term_ = 0;
    LogMessageBody body_;

    auto operator==(const LogMessage &) const -> bool = default;
};

/// Writes \a message.
auto encodeMessage(const LogMessage &message) -> Json;
/// The inverse of encodeMessage().
auto decodeMessage(const Json &json) -> Result<LogMessage>;

} // namespace lycheereach
