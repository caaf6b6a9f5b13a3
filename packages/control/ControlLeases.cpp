#include "control/ControlService.h"

#include "control/LeaseGrant.h"
#include "control/Proposal.h"
#include "control/ProposalAnswer.h"
#include "control/Renewal.h"
#include "control/VoterKeeper.h"
#include "log/Replica.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

/// Bytes of records in one answer to a renewal.
constexpr auto recordLimitBytes = std::size_t{256} * 1024;
/// A grantor that has not answered for so many renewal intervals is given up for another one.
constexpr auto unansweredRenewals = 3;
/// A relay names the entries that renewed with it within so many renewal intervals.
constexpr auto heardRenewals = 2;
/// A grant for fewer renewal intervals is a reason to ask another grantor.
constexpr auto strongGrant = 2;
/// Changes that follow each other within this time go to the holders together.
constexpr auto pushPause = std::chrono::milliseconds(40);
/// Records sent to a holder count as on their way for so long.
constexpr auto recordsUnderWay = std::chrono::milliseconds(1500);
/// The lease of the leader's own grants is not limited by another lease.
constexpr auto noLimit = std::chrono::hours(1);

/// Whether \a known bars the incarnation of \a self: it is newer, or that one was lost and its
/// claims are abandoned.
auto barsIncarnation(const EntryRecord &known, const EntryRecord &self) -> bool
{
    const auto isLost = known.phase_ == EntryPhase::Lost;
    return known.incarnation_ > self.incarnation_
        || (isLost && known.incarnation_ == self.incarnation_);
}

} // namespace

auto ControlService::receive(const EntryId &from, const std::string &method, const Json &params)
    -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    const auto dispatch = [&]<typename Message>(auto handler) {
        if (const auto message = decode<Message>(params))
            handler(*message);
    };
    if (method == "control.log") {
        if (replica_ != nullptr)
            replica_->receive(from, params, hooks_.now_());
    } else if (method == "control.renew") {
        dispatch.operator()<Renewal>([&](const Renewal &message) { onRenewal(from, message); });
    } else if (method == "control.grant") {
        dispatch.operator()<LeaseGrant>([&](const LeaseGrant &message) { onGrant(from, message); });
    } else if (method == "control.propose") {
        dispatch.operator()<Proposal>([&](const Proposal &message) { onProposal(from, message); });
    } else if (method == "control.proposed") {
        dispatch.operator()<ProposalAnswer>(
            [&](const ProposalAnswer &message) { onProposalAnswer(message); });
    } else {
        return false;
    }
    return true;
}

auto ControlService::renewWhenDue(MonotonicTime now) -> void
{
    const auto hasLease = lease_.allowsWork(machine_.state().applied_, now);
    auto pause = hasLease ? settings_.renewEvery_ : settings_.renewWithoutLease_;
    if (owesConfirmation(now))
        pause = std::min(pause, settings_.confirmAfter_);
    if (now - renewedAt_ < pause)
        return;
    renewedAt_ = now;
    if (isLeaderNow(now)) {
        renewAsLeader(now);
        return;
    }
    if (const auto grantor = grantorToAsk())
        sendRenewal(*grantor, now);
}

auto ControlService::owesConfirmation(MonotonicTime now) const -> bool
{
    const auto awaited = machine_.state().withdrawnIndex_;
    // A leader renews its own lease and tells nobody.
    return !leading_ && toldConfirmed_ < awaited && confirmedHere(now) >= awaited;
}

auto ControlService::renewAsLeader(MonotonicTime now) -> void
{
    const auto number = lease_.startRenewal(now);
    lease_.renewalGranted(number, settings_.stateLease_, machine_.state().requiredIndex_);
    leader_ = settings_.self_.id_;
    relaying_ = replica_ != nullptr;
}

auto ControlService::grantorToAsk() -> std::optional<EntryId>
{
    const auto now = hooks_.now_();
    if (replica_ != nullptr) {
        if (const auto known = replica_->leader())
            leader_ = *known;
    }
    const auto silent = now - answeredAt_ > unansweredRenewals * settings_.renewEvery_;
    if (replica_ != nullptr && !leader_.empty() && leader_ != settings_.self_.id_ && !silent)
        return leader_;
    const auto takesTurns = settings_.grantors_ > 1;
    const auto isSettled = replica_ == nullptr && !grantor_.empty() && !silent && !takesTurns;
    if (isSettled && grantor_ != leader_)
        return grantor_;
    const auto candidates = relays();
    if (candidates.empty())
        return std::nullopt;
    const auto isNarrow = replica_ == nullptr && takesTurns && !silent;
    auto count = isNarrow ? std::min(settings_.grantors_, candidates.size()) : candidates.size();
    // Leaves the leader to the relays.
    if (isSettled && count > 1)
        --count;
    return candidates[asked_++ % count];
}

auto ControlService::relays() const -> std::vector<EntryId>
{
    auto near = std::vector<EntryId>{};
    auto far = std::vector<EntryId>{};
    const auto &self = settings_.self_;
    for (const auto &[id, entry] : machine_.state().entries_) {
        if (!entry.control_ || id == self.id_ || entry.phase_ == EntryPhase::Lost)
            continue;
        (entry.zone_ == self.zone_ ? near : far).push_back(id);
    }
    // Entries spread over the relays of a zone.
    const auto start = std::hash<std::string>{}(self.id_.text());
    for (auto *tier : {&near, &far}) {
        if (!tier->empty())
            std::rotate(tier->begin(), tier->begin() + start % tier->size(), tier->end());
    }
    near.insert(near.end(), far.begin(), far.end());
    std::stable_partition(near.begin(), near.end(),
                          [this](const EntryId &relay) { return relay != leader_; });
    for (const auto &voter : settings_.voters_) {
        if (voter != self.id_ && std::find(near.begin(), near.end(), voter) == near.end())
            near.push_back(voter);
    }
    return near;
}

auto ControlService::sendRenewal(const EntryId &to, MonotonicTime now) -> void
{
    auto renewal = Renewal{.number_ = lease_.startRenewal(now),
                           .entry_ = settings_.self_,
                           .confirmed_ = confirmedHere(now),
                           .applied_ = machine_.state().applied_};
    toldConfirmed_ = renewal.confirmed_;
    if (relaying_)
        renewal.holders_ = heardLately(now);
    for (const auto &[pool, groups] : demandHere(now))
        renewal.demand_.push_back({pool, groups});
    hooks_.sendLatest_(to, "control.renew", encode(renewal));
}

auto ControlService::setDemand(std::vector<PoolDemand> demand) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ownDemand_ = std::move(demand);
}

auto ControlService::demand() const -> std::map<PoolName, double>
{
    const auto lock = std::scoped_lock(mutex_);
    return demandHere(hooks_.now_());
}

auto ControlService::demandHere(MonotonicTime now) const -> std::map<PoolName, double>
{
    auto sum = std::map<PoolName, double>{};
    for (const auto &item : ownDemand_)
        sum[item.pool_] += item.groups_;
    for (const auto &[entry, heard] : heardDemand_) {
        if (now - heard.at_ >= heardRenewals * settings_.renewEvery_)
            continue;
        for (const auto &item : heard.demand_)
            sum[item.pool_] += item.groups_;
    }
    return sum;
}

auto ControlService::heardLately(MonotonicTime now) const -> std::vector<EntryId>
{
    auto heard = std::vector<EntryId>{};
    for (const auto &[entry, at] : heardOf_) {
        if (now - at < heardRenewals * settings_.renewEvery_)
            heard.push_back(entry);
    }
    return heard;
}

auto ControlService::confirmedHere(MonotonicTime now) const -> LogIndex
{
    const auto applied = machine_.state().applied_;
    if (replica_ == nullptr)
        return applied;
    return relaying_ ? relayed_.confirmedIndex(applied, now) : LogIndex{0};
}

auto ControlService::onRenewal(const EntryId &from, const Renewal &renewal) -> void
{
    const auto now = hooks_.now_();
    notePeer(renewal.entry_);
    if (replica_ == nullptr)
        return;
    heardDemand_[renewal.entry_.id_] = HeardDemand{renewal.demand_, now};
    auto grant = LeaseGrant{.number_ = renewal.number_, .leader_ = leader_};
    if (renewal.entry_.control_ && isLeaderNow(now))
        grant = grantAsLeader(renewal, now);
    else if (!renewal.entry_.control_)
        grant = grantAsRelay(renewal, now);
    grant.inForceIndex_ = inForceIndex_;
    hooks_.send_(from, "control.grant", encode(grant));
}

auto ControlService::grantAsLeader(const Renewal &renewal, MonotonicTime now) -> LeaseGrant
{
    const auto &id = renewal.entry_.id_;
    replica_->addLearner(id);
    heardOf_[id] = now;
    for (const auto &holder : renewal.holders_)
        heardOf_[holder] = now;
    const auto &state = machine_.state();
    auto grant = LeaseGrant{.number_ = renewal.number_,
                            .requiredIndex_ = state.requiredIndex_,
                            .leader_ = settings_.self_.id_};
    if (state.entries_.contains(id))
        grant.durationMs_ = toMilliseconds(granted_.grant(id, renewal.confirmed_, noLimit, now));
    return grant;
}

auto ControlService::grantAsRelay(const Renewal &renewal, MonotonicTime now) -> LeaseGrant
{
    const auto &state = machine_.state();
    auto grant = LeaseGrant{
        .number_ = renewal.number_, .requiredIndex_ = state.applied_, .leader_ = leader_};
    if (relaying_)
        heardOf_[renewal.entry_.id_] = now;
    const auto mayGrant = relaying_ && lease_.allowsWork(state.applied_, now)
        && state.entries_.contains(renewal.entry_.id_);
    if (mayGrant)
        grant.durationMs_ = toMilliseconds(
            relayed_.grant(renewal.entry_.id_, renewal.applied_, lease_.remaining(now), now));
    // Records on their way are not sent again, or a holder that is behind would get them many
    // times.
    auto &sent = sentTo_[renewal.entry_.id_];
    const auto isSameRun = sent.incarnation_ == renewal.entry_.incarnation_;
    const auto isStuck = sent.applied_ == renewal.applied_ && sent.index_ > renewal.applied_
        && now - sent.appliedAt_ >= recordsUnderWay;
    if (!isSameRun || isStuck || sent.index_ < renewal.applied_)
        sent.index_ = renewal.applied_;
    if (!isSameRun || isStuck || sent.applied_ != renewal.applied_)
        sent.appliedAt_ = now;
    sent.incarnation_ = renewal.entry_.incarnation_;
    sent.applied_ = renewal.applied_;
    addRecords(grant, sent.index_);
    noteSent(renewal.entry_.id_, grant);
    return grant;
}

auto ControlService::noteSent(const EntryId &holder, const LeaseGrant &grant) -> void
{
    auto &sent = sentTo_[holder];
    if (grant.snapshot_)
        sent.index_ = std::max(sent.index_, replica_->latestSnapshot().position_.index_);
    if (!grant.records_.empty())
        sent.index_ = std::max(sent.index_, grant.records_.back().index_);
}

auto ControlService::pushRecords(MonotonicTime now) -> void
{
    if (replica_ == nullptr || !relaying_)
        return;
    if (now - pushedAt_ < pushPause)
        return;
    auto behind = std::map<LogIndex, std::vector<EntryId>>{};
    for (const auto &holder : relayed_.holders(now)) {
        const auto sent = sentTo_.find(holder);
        if (sent != sentTo_.end() && sent->second.index_ < machine_.state().applied_)
            behind[sent->second.index_].push_back(holder);
    }
    for (const auto &[index, holders] : behind) {
        pushedAt_ = now;
        auto grant = LeaseGrant{.inForceIndex_ = inForceIndex_, .leader_ = leader_};
        addRecords(grant, index);
        for (const auto &holder : holders)
            noteSent(holder, grant);
        hooks_.sendAll_(holders, "control.grant", encode(grant));
    }
}

auto ControlService::addRecords(LeaseGrant &grant, LogIndex applied) const -> void
{
    const auto committed = replica_->recordsFrom(applied + 1, recordLimitBytes);
    if (committed.needsSnapshot_) {
        grant.snapshot_ = replica_->latestSnapshot().bytes_;
        return;
    }
    for (const auto &record : committed.records_) {
        const auto isCommand = record.kind_ == RecordKind::StateCommand;
        grant.records_.push_back(
            StateRecord{record.index_, isCommand ? record.payload_ : std::string()});
    }
}

auto ControlService::onGrant(const EntryId &from, const LeaseGrant &grant) -> void
{
    const auto now = hooks_.now_();
    if (!grant.leader_.empty())
        leader_ = grant.leader_;
    if (replica_ == nullptr)
        takeRecords(grant);
    inForceIndex_ = std::max(inForceIndex_, grant.inForceIndex_);
    // A grantor whose own lease runs out, because it is cut off from the leader, grants less and
    // less: the next renewal goes to another one.
    const auto isWeak
        = std::chrono::milliseconds(grant.durationMs_) < strongGrant * settings_.renewEvery_;
    if (!isWeak)
        grantor_ = from;
    else if (grant.number_ != 0 && grantor_ == from)
        grantor_ = EntryId();
    if (grant.durationMs_ == 0)
        return;
    answeredAt_ = now;
    lease_.renewalGranted(grant.number_, std::chrono::milliseconds(grant.durationMs_),
                          grant.requiredIndex_);
    relaying_ = replica_ != nullptr;
    noteLeaseChange(now);
}

auto ControlService::takeRecords(const LeaseGrant &grant) -> void
{
    if (grant.snapshot_)
        restoreSnapshot(*grant.snapshot_);
    for (const auto &record : grant.records_) {
        if (record.index_ != machine_.state().applied_ + 1)
            continue;
        if (!record.command_.empty())
            applyCommand(record.index_, record.command_);
        machine_.advance(record.index_);
    }
}

auto ControlService::noteLeadership(MonotonicTime now) -> void
{
    const auto leads = isLeaderNow(now);
    if (leads == leading_)
        return;
    leading_ = leads;
    if (!leads)
        return;
    leadingSince_ = now;
    heardOf_.clear();
    auto relays = std::vector<EntryId>{};
    for (const auto &[id, entry] : machine_.state().entries_) {
        if (entry.control_ && id != settings_.self_.id_)
            relays.push_back(id);
    }
    granted_.takeOverHolders(relays, now);
    renewAsLeader(now);
}

auto ControlService::updateInForce(MonotonicTime now) -> void
{
    if (!leading_ || !relaying_)
        return;
    const auto confirmed = granted_.confirmedIndex(confirmedHere(now), now);
    inForceIndex_ = std::max(inForceIndex_, confirmed);
    tellInForce(now);
    const auto &state = machine_.state();
    if (inForceIndex_ < state.requiredIndex_ || versionInForce_ == state.version_)
        return;
    versionInForce_ = state.version_;
    hooks_.event_(
        Event{EventNumber::ConfigurationInForce, {{"version", std::to_string(state.version_)}}});
}

auto ControlService::tellInForce(MonotonicTime now) -> void
{
    const auto awaited = machine_.state().withdrawnIndex_;
    if (toldInForce_ >= awaited || inForceIndex_ < awaited)
        return;
    toldInForce_ = awaited;
    const auto news = LeaseGrant{.inForceIndex_ = inForceIndex_, .leader_ = settings_.self_.id_};
    hooks_.sendAll_(granted_.holders(now), "control.grant", encode(news));
}

auto ControlService::loseSilentEntries(MonotonicTime now) -> void
{
    const auto patience = settings_.entryPatience_.value_or(2 * settings_.stateLease_);
    if (!leading_ || now - leadingSince_ < patience)
        return;
    for (const auto &[id, entry] : machine_.state().entries_) {
        if (entry.phase_ == EntryPhase::Lost || id == settings_.self_.id_)
            continue;
        auto &heard = heardOf_.try_emplace(id, now).first->second;
        if (now - heard < patience)
            continue;
        heard = now;
        appendHere(encodeCommand(SetEntryPhase{id, entry.incarnation_, EntryPhase::Lost}), nullptr,
                   now + settings_.proposalTimeout_);
    }
}

auto ControlService::registerWhenNeeded(MonotonicTime now) -> void
{
    if (now - registeredAt_ < settings_.registerEvery_)
        return;
    registeredAt_ = now;
    const auto &entries = machine_.state().entries_;
    const auto found = entries.find(settings_.self_.id_);
    if (found != entries.end() && found->second == settings_.self_)
        return;
    if (found != entries.end() && barsIncarnation(found->second, settings_.self_))
        settings_.self_.incarnation_ = found->second.incarnation_ + 1;
    const auto command = encodeCommand(PutEntry{settings_.self_});
    const auto giveUpAt = now + settings_.registerEvery_;
    if (appendHere(command, nullptr, giveUpAt))
        return;
    const auto number = ++lastNumber_;
    auto &remote = remote_[number];
    remote = Remote{.command_ = command, .giveUpAt_ = giveUpAt};
    forward(remote, number, now);
}

auto ControlService::keepVoters(MonotonicTime now) -> void
{
    const auto isDue = now - votersCheckedAt_ >= settings_.renewEvery_;
    if (settings_.voterTarget_ == 0 || !isDue || !isLeaderNow(now))
        return;
    votersCheckedAt_ = now;
    auto view = VoterView{.wiped_ = replica_->wipedVoters(), .target_ = settings_.voterTarget_};
    for (const auto &voter : replica_->voters().voters_)
        view.voters_.insert(voter.name_);
    for (const auto &[id, entry] : machine_.state().entries_) {
        if (entry.control_ && entry.phase_ == EntryPhase::Live)
            view.live_.insert(id);
        if (entry.control_ && entry.phase_ == EntryPhase::Lost)
            view.lost_.insert(id);
    }
    const auto change = nextVoterChange(view);
    if (!change)
        return;
    const auto position = replica_->changeVoters(change->add_, change->remove_, now);
    // A refusal is repeated at the next check: the last change is not committed yet, or the
    // instance to add has not caught up.
    if (!position)
        return;
    overtake(position->index_);
    scheduleFlush();
}

auto ControlService::leave() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    settings_.self_.phase_ = EntryPhase::Leaving;
    registeredAt_ = MonotonicTime{};
}

auto ControlService::noteLeaseChange(MonotonicTime now) -> void
{
    const auto mayWork = lease_.allowsWork(machine_.state().applied_, now);
    if (mayWork == mayWork_)
        return;
    mayWork_ = mayWork;
    const auto number = mayWork ? EventNumber::StateLeaseRenewed : EventNumber::StateLeaseExpired;
    hooks_.event_(Event{number, {{"entry", settings_.self_.id_.text()}}});
}

auto ControlService::mayTakeWork() const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return lease_.allowsWork(machine_.state().applied_, hooks_.now_());
}

auto ControlService::inForceIndex() const -> LogIndex
{
    const auto lock = std::scoped_lock(mutex_);
    return inForceIndex_;
}

auto ControlService::waitingFor(LogIndex index) const -> std::vector<EntryId>
{
    const auto lock = std::scoped_lock(mutex_);
    if (!leading_)
        return {};
    const auto now = hooks_.now_();
    auto waiting = granted_.holdersBehind(index, now);
    const auto here = relayed_.holdersBehind(index, now);
    waiting.insert(waiting.end(), here.begin(), here.end());
    return waiting;
}

auto ControlService::liveEntries() const -> std::set<EntryId>
{
    const auto lock = std::scoped_lock(mutex_);
    auto live = std::set<EntryId>{};
    for (const auto &[id, entry] : machine_.state().entries_) {
        if (entry.phase_ == EntryPhase::Live)
            live.insert(id);
    }
    return live;
}

} // namespace lycheereach
