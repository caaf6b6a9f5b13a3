#include "control/ControlService.h"

#include "base/Compression.h"
#include "control/Proposal.h"
#include "control/ProposalAnswer.h"
#include "log/Replica.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheereach {

namespace {

/// A record that is committed later than this after it was appended is reported.
constexpr auto slowCommitTime = std::chrono::milliseconds(500);
/// The time between two such reports: a process that is late must not be busy with reporting it.
constexpr auto slowCommitReportInterval = std::chrono::seconds(1);

auto timeoutFailure(bool mayHaveRun) -> Failure
{
    return Failure{.code_ = Error::OutcomeUnknown,
                   .message_ = "no leader of the control log answered in time; send the operation "
                               "again under the same id to learn its outcome",
                   .verdict_ = mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun};
}

} // namespace

auto ControlService::propose(const Command &command, ProposalCallback done,
                             std::optional<Duration> timeout) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto now = hooks_.now_();
    const auto deadline = now + timeout.value_or(settings_.proposalTimeout_);
    auto encoded = encodeCommand(command);
    if (appendIfLeader(encoded, done, deadline))
        return;
    const auto number = ++lastProposalNumber_;
    auto &forwarded = forwardedProposals_[number];
    forwarded = ForwardedProposal{
        .command_ = std::move(encoded), .done_ = std::move(done), .deadline_ = deadline};
    forwardToLeader(forwarded, number, now);
}

auto ControlService::appendIfLeader(const std::string &command, ProposalCallback done,
                                    MonotonicTime deadline, Verdict priorVerdict) -> bool
{
    const auto now = hooks_.now_();
    if (!isLeaderNow(now))
        return false;
    if (joinPending(command, done))
        return true;
    const auto position = replica_->propose(command, now);
    if (!position && position.failure().code_ == Error::NotLeader)
        return false;
    if (!position) {
        auto failure = position.failure();
        failure.verdict_ = combine(failure.verdict_, priorVerdict);
        postOutcome(std::move(done), std::move(failure));
        return true;
    }
    retryReplacedAt(position->index_);
    appendedProposals_[position->index_]
        = AppendedProposal{position->term_, command, std::move(done), deadline, now, {}};
    scheduleFlush();
    return true;
}

auto ControlService::joinPending(const std::string &command, const ProposalCallback &done) -> bool
{
    // Only declarations are as large; they are ordered by their revision or version, so that
    // commands in between make no difference.
    if (!isPackedText(command))
        return false;
    const auto isSame = [&](const auto &item) {
        return item.second.command_ == command && item.second.term_ == replica_->term();
    };
    const auto found = std::find_if(appendedProposals_.begin(), appendedProposals_.end(), isSame);
    if (found == appendedProposals_.end())
        return false;
    auto &pending = found->second;
    if (done)
        pending.done_
            = [first = std::move(pending.done_), done](const Result<CommandOutcome> &outcome) {
                  if (first)
                      first(outcome);
                  done(outcome);
              };
    return true;
}

auto ControlService::retryProposal(AppendedProposal appended) -> void
{
    if (!appended.command_) {
        postOutcome(std::move(appended.done_), timeoutFailure(true));
        return;
    }
    forwardedProposals_[++lastProposalNumber_]
        = ForwardedProposal{.command_ = std::move(*appended.command_),
                            .done_ = std::move(appended.done_),
                            .deadline_ = appended.deadline_,
                            .mayBeAppended_ = true};
}

auto ControlService::forwardToLeader(ForwardedProposal &forwarded, std::uint64_t number,
                                     MonotonicTime now) -> void
{
    forwarded.resendAt_ = now + settings_.proposalResendInterval_;
    if (leader_.empty() || leader_ == settings_.ownRecord_.id_)
        return;
    forwarded.mayBeAppended_ = true;
    const auto proposal = Proposal{number, forwarded.command_};
    hooks_.send_(leader_, "control.propose", encode(proposal));
}

auto ControlService::scheduleFlush() -> void
{
    if (flushScheduled_)
        return;
    flushScheduled_ = true;
    hooks_.post_([this] {
        const auto lock = std::scoped_lock(mutex_);
        flushScheduled_ = false;
        replica_->flush(hooks_.now_());
        const auto now = hooks_.now_();
        for (auto &[index, appended] : appendedProposals_) {
            if (!appended.flushedAt_)
                appended.flushedAt_ = now;
        }
    });
}

auto ControlService::emitWhenSlow(LogIndex index, const AppendedProposal &proposal) -> void
{
    const auto now = hooks_.now_();
    if (now - proposal.appendedAt_ < slowCommitTime
        || now - slowCommitReportedAt_ < slowCommitReportInterval)
        return;
    slowCommitReportedAt_ = now;
    const auto flushedAt = proposal.flushedAt_.value_or(now);
    hooks_.event_(
        Event{EventNumber::CommitSlow,
              {{"index", std::to_string(index)},
               {"flushMs", std::to_string(toMilliseconds(flushedAt - proposal.appendedAt_))},
               {"commitMs", std::to_string(toMilliseconds(now - flushedAt))}}});
}

auto ControlService::resendProposals(MonotonicTime now) -> void
{
    for (auto item = forwardedProposals_.begin(); item != forwardedProposals_.end();) {
        auto &forwarded = item->second;
        if (now < forwarded.resendAt_) {
            ++item;
        } else if (appendIfLeader(forwarded.command_, forwarded.done_, forwarded.deadline_,
                                  forwarded.mayBeAppended_ ? Verdict::MayHaveRun
                                                           : Verdict::NotRun)) {
            item = forwardedProposals_.erase(item);
        } else {
            forwardToLeader(forwarded, item->first, now);
            ++item;
        }
    }
}

auto ControlService::failTimedOutProposals(MonotonicTime now) -> void
{
    for (auto item = forwardedProposals_.begin(); item != forwardedProposals_.end();) {
        if (now < item->second.deadline_) {
            ++item;
            continue;
        }
        postOutcome(std::move(item->second.done_), timeoutFailure(item->second.mayBeAppended_));
        item = forwardedProposals_.erase(item);
    }
    for (auto item = appendedProposals_.begin(); item != appendedProposals_.end();) {
        if (now < item->second.deadline_) {
            ++item;
            continue;
        }
        postOutcome(std::move(item->second.done_), timeoutFailure(true));
        item = appendedProposals_.erase(item);
    }
}

auto ControlService::retryReplacedAt(LogIndex index) -> void
{
    const auto found = appendedProposals_.find(index);
    if (found == appendedProposals_.end())
        return;
    retryProposal(std::move(found->second));
    appendedProposals_.erase(found);
}

auto ControlService::retryReplacedUpTo(LogIndex upTo) -> void
{
    while (!appendedProposals_.empty() && appendedProposals_.begin()->first <= upTo) {
        retryProposal(std::move(appendedProposals_.begin()->second));
        appendedProposals_.erase(appendedProposals_.begin());
    }
}

auto ControlService::onProposal(const EntryId &from, const Proposal &proposal) -> void
{
    const auto number = proposal.number_;
    const auto reply = [this, from, number](const Result<CommandOutcome> &result) {
        auto message = ProposalAnswer{.number_ = number};
        if (result)
            message.outcome_ = *result;
        else
            message.message_ = result.failure().message_;
        hooks_.send_(from, "control.proposed", encode(message));
    };
    if (appendIfLeader(proposal.command_, reply, hooks_.now_() + settings_.proposalTimeout_,
                       Verdict::MayHaveRun))
        return;
    const auto refusal = ProposalAnswer{.number_ = number, .notLeader_ = true};
    hooks_.send_(from, "control.proposed", encode(refusal));
}

auto ControlService::onProposalAnswer(const ProposalAnswer &message) -> void
{
    const auto found = forwardedProposals_.find(message.number_);
    if (found == forwardedProposals_.end())
        return;
    if (message.outcome_) {
        postOutcome(std::move(found->second.done_), *message.outcome_);
        forwardedProposals_.erase(found);
        return;
    }
    if (message.notLeader_)
        return;
    postOutcome(std::move(found->second.done_),
                Failure{Error::DiskFailed, message.message_, Verdict::MayHaveRun});
    forwardedProposals_.erase(found);
}

auto ControlService::postOutcome(ProposalCallback done, Result<CommandOutcome> result) -> void
{
    if (!done)
        return;
    hooks_.post_([done = std::move(done), result = std::move(result)] { done(result); });
}

} // namespace lycheereach
