#include "state/CommandHandlers.h"

#include <algorithm>

namespace lycheereach {

namespace {

auto isNewer(const Announcement &left, const Announcement &right) -> bool
{
    return std::pair(left.incarnation_, left.sequence_)
        > std::pair(right.incarnation_, right.sequence_);
}

auto emitUpstream(const CommandContext &context, EventNumber number, const UpstreamId &upstream,
                  const std::string &reason = {}) -> void
{
    auto event = Event{number, {{"upstream", upstream.text()}}};
    if (!reason.empty())
        event.attributes_["reason"] = reason;
    context.sink_(event);
}

/// Tells what \a announced changes for new work at \a upstream.
auto emitChanges(const CommandContext &context, const Upstream &upstream,
                 const Announcement &announced) -> void
{
    const auto &id = announced.upstream_;
    if (announced.incarnation_ > upstream.announced_.incarnation_)
        emitUpstream(context, EventNumber::UpstreamRestarted, id);
    else if (upstream.lost_)
        emitUpstream(context, EventNumber::UpstreamSeen, id, "it was lost");
    if (announced.leaving_ && !upstream.announced_.leaving_)
        emitUpstream(context, EventNumber::UpstreamDraining, id, "it announced that it leaves");
}

/// Takes in whether \a upstream may still take work after a change; \a couldWork is whether it
/// might before.
auto noteWithdrawal(CommandContext &context, Upstream &upstream, bool couldWork) -> void
{
    if (mayTakeWork(upstream))
        upstream.withdrawnIndex_ = 0;
    else if (couldWork || upstream.withdrawnIndex_ == 0)
        upstream.withdrawnIndex_ = context.index_;
    else
        return;
    if (isWithdrawn(upstream))
        context.state_.withdrawnIndex_ = context.index_;
}

auto emitEntry(const CommandContext &context, EventNumber number, const EntryId &entry) -> void
{
    context.sink_(Event{number, {{"entry", entry.text()}}});
}

} // namespace

auto handle(CommandContext &context, const PutEntry &command) -> CommandOutcome
{
    auto &entries = context.state_.entries_;
    const auto &entry = command.entry_;
    const auto found = entries.find(entry.id_);
    if (found != entries.end() && entry.incarnation_ < found->second.incarnation_)
        return refused("an older incarnation of entry '" + entry.id_.text() + "'");
    abandonClaims(context, entry.id_, entry.incarnation_);
    entries[entry.id_] = entry;
    const auto leaves = entry.phase_ == EntryPhase::Leaving;
    emitEntry(context, leaves ? EventNumber::EntryLeft : EventNumber::EntryJoined, entry.id_);
    return accepted();
}

auto handle(CommandContext &context, const SetEntryPhase &command) -> CommandOutcome
{
    auto &entries = context.state_.entries_;
    const auto found = entries.find(command.entry_);
    if (found == entries.end() || found->second.incarnation_ != command.incarnation_)
        return refused("another incarnation of entry '" + command.entry_.text() + "'");
    if (found->second.phase_ == command.phase_)
        return accepted();
    found->second.phase_ = command.phase_;
    if (command.phase_ == EntryPhase::Lost) {
        abandonClaims(context, command.entry_, command.incarnation_ + 1);
        emitEntry(context, EventNumber::EntryLost, command.entry_);
    }
    if (command.phase_ == EntryPhase::Leaving)
        emitEntry(context, EventNumber::EntryLeft, command.entry_);
    return accepted();
}

auto handle(CommandContext &context, const PutUpstream &command) -> CommandOutcome
{
    auto &upstreams = context.state_.upstreams_;
    const auto &announced = command.announced_;
    const auto found = upstreams.find(announced.upstream_);
    if (found == upstreams.end()) {
        auto &upstream = upstreams[announced.upstream_];
        upstream = Upstream{announced, command.watcher_};
        noteWithdrawal(context, upstream, true);
        emitUpstream(context, EventNumber::UpstreamSeen, announced.upstream_);
        return accepted();
    }
    auto &upstream = found->second;
    if (!isNewer(announced, upstream.announced_))
        return refused("an older announcement of '" + announced.upstream_.text() + "'");
    emitChanges(context, upstream, announced);
    const auto couldWork = mayTakeWork(upstream);
    upstream.retired_
        = upstream.retired_ && announced.incarnation_ == upstream.announced_.incarnation_;
    upstream.announced_ = announced;
    upstream.watcher_ = command.watcher_;
    upstream.lost_ = false;
    noteWithdrawal(context, upstream, couldWork);
    demoteIfIncomplete(context, announced.upstream_);
    return accepted();
}

auto handle(CommandContext &context, const LoseUpstream &command) -> CommandOutcome
{
    auto &upstreams = context.state_.upstreams_;
    const auto found = upstreams.find(command.upstream_);
    if (found == upstreams.end())
        return refused("unknown upstream '" + command.upstream_.text() + "'");
    auto &upstream = found->second;
    const auto watcherMatches = command.watcher_.empty() || command.watcher_ == upstream.watcher_;
    if (!watcherMatches || upstream.announced_.incarnation_ != command.incarnation_)
        return refused("'" + command.upstream_.text() + "' has another watcher or incarnation");
    if (upstream.lost_)
        return accepted();
    const auto couldWork = mayTakeWork(upstream);
    upstream.lost_ = true;
    noteWithdrawal(context, upstream, couldWork);
    emitUpstream(context, EventNumber::UpstreamLost, command.upstream_);
    demoteIfIncomplete(context, command.upstream_);
    return accepted();
}

auto handle(CommandContext &context, const RetireUpstream &command) -> CommandOutcome
{
    auto &upstreams = context.state_.upstreams_;
    const auto found = upstreams.find(command.upstream_);
    if (found == upstreams.end())
        return refused("unknown upstream '" + command.upstream_.text() + "'");
    auto &upstream = found->second;
    const auto &announced = upstream.announced_;
    if (command.incarnation_ && announced.incarnation_ != *command.incarnation_)
        return refused("another incarnation of upstream '" + command.upstream_.text() + "'");
    if (upstream.retired_)
        return accepted();
    const auto couldWork = mayTakeWork(upstream);
    upstream.retired_ = true;
    noteWithdrawal(context, upstream, couldWork);
    if (!announced.leaving_) {
        emitUpstream(context, EventNumber::UpstreamDraining, command.upstream_, "it deregistered");
        return accepted();
    }
    if (!upstream.lost_)
        emitUpstream(context, EventNumber::UpstreamLost, command.upstream_, "it deregistered");
    upstream.lost_ = true;
    demoteIfIncomplete(context, command.upstream_);
    return accepted();
}

} // namespace lycheereach
