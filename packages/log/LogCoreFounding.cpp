#include "log/LogCore.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto foundingPosition = LogPosition{1, 1};

} // namespace

auto LogCore::foundingTick() -> void
{
    const auto &names = settings_.initialVoters_;
    if (std::find(names.begin(), names.end(), self_.name_) == names.end())
        return;
    if (now_ >= greetingDue_) {
        greetingDue_ = now_ + settings_.heartbeatInterval_;
        for (const auto &name : names) {
            if (name != self_.name_)
                send(name, Greeting{blankPeers_[name]});
        }
    }
    const auto founds = *std::min_element(names.begin(), names.end()) == self_.name_;
    if (!founds || greetedBack_.size() + 1 < names.size())
        return;
    auto voters = VoterSet{}.with(self_);
    for (const auto &name : greetedBack_)
        voters = voters.with({name, blankPeers_[name]});
    found(self_.name_.text() + "-" + std::to_string(random_()), voters);
    for (const auto &name : greetedBack_)
        send(name, Founding{voters});
}

auto LogCore::found(std::string cluster, const VoterSet &voters) -> void
{
    state_.cluster_ = std::move(cluster);
    state_.term_ = foundingPosition.term_;
    markUnsynced();
    appendRecord(
        {foundingPosition.index_, foundingPosition.term_, RecordKind::Voters, toPayload(voters)});
    leaderHeard_ = now_;
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
        blankPeers_[from] = message.generation_;
        if (body.echo_ == self_.generation_)
            greetedBack_.insert(from);
        else
            greetedBack_.erase(from);
        return;
    }
    if (!log_.voters().contains({from, message.generation_}))
        return;
    auto reply = Founding{};
    if (log_.base().index_ < foundingPosition.index_) {
        if (auto voters = votersFromPayload(log_.at(foundingPosition.index_).payload_))
            reply.voters_ = std::move(voters.value());
    }
    send(from, std::move(reply));
}

auto LogCore::handle(const EntryId & /*from*/, const LogMessage &message, const Founding &body)
    -> void
{
    if (!state_.cluster_.empty())
        return;
    if (body.voters_.contains(self_)) {
        found(message.cluster_, body.voters_);
    } else if (body.voters_.voters_.empty()) {
        state_.cluster_ = message.cluster_;
        markUnsynced();
    }
}

} // namespace lycheereach
