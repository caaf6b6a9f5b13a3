#include "log/LogCore.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto bootstrapPosition = LogPosition{1, 1};

} // namespace

auto LogCore::bootstrapTick() -> void
{
    const auto &names = settings_.initialVoters_;
    if (std::find(names.begin(), names.end(), self_.name_) == names.end())
        return;
    if (now_ >= nextGreetingAt_) {
        nextGreetingAt_ = now_ + settings_.heartbeatInterval_;
        for (const auto &name : names) {
            if (name != self_.name_)
                send(name, Greeting{bootstrapPeers_[name]});
        }
    }
    const auto isBootstrapLeader = *std::min_element(names.begin(), names.end()) == self_.name_;
    if (!isBootstrapLeader || confirmedPeers_.size() + 1 < names.size())
        return;
    auto voters = VoterSet{}.with(self_);
    for (const auto &name : confirmedPeers_)
        voters = voters.with({name, bootstrapPeers_[name]});
    bootstrap(self_.name_.text() + "-" + std::to_string(random_()), voters);
    for (const auto &name : confirmedPeers_)
        send(name, BootstrapReply{voters});
}

auto LogCore::bootstrap(std::string cluster, const VoterSet &voters) -> void
{
    state_.cluster_ = std::move(cluster);
    state_.term_ = bootstrapPosition.term_;
    markUnsynced();
    appendRecord(
        {bootstrapPosition.index_, bootstrapPosition.term_, RecordKind::Voters, toPayload(voters)});
    lastLeaderContact_ = now_;
    resetElectionTimer();
}

auto LogCore::handle(const EntryId &from, const LogMessage &message, const Greeting &body) -> void
{
    if (!message.cluster_.empty())
        return;
    if (state_.cluster_.empty()) {
        const auto &names = settings_.initialVoters_;
        if (std::find(names.begin(), names.end(), from) == names.end())
            return;
        bootstrapPeers_[from] = message.generation_;
        if (body.echoedGeneration_ == self_.generation_)
            confirmedPeers_.insert(from);
        else
            confirmedPeers_.erase(from);
        return;
    }
    if (!log_.voters().contains({from, message.generation_}))
        return;
    auto reply = BootstrapReply{};
    if (log_.base().index_ < bootstrapPosition.index_) {
        if (auto voters = votersFromPayload(log_.at(bootstrapPosition.index_).payload_))
            reply.voters_ = std::move(voters.value());
    }
    send(from, std::move(reply));
}

auto LogCore::handle(const EntryId & /*from*/, const LogMessage &message,
                     const BootstrapReply &body) -> void
{
    if (!state_.cluster_.empty())
        return;
    if (body.voters_.contains(self_)) {
        bootstrap(message.cluster_, body.voters_);
    } else if (body.voters_.voters_.empty()) {
        state_.cluster_ = message.cluster_;
        markUnsynced();
    }
}

} // namespace lycheereach
