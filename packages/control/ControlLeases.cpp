#include "control/ControlService.h"

#include "control/LeaseGrant.h"
#include "control/Proposal.h"
#include "control/ProposalAnswer.h"
#include "control/Renewal.h"
#include "log/Replica.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

/// The most bytes of records in one LeaseGrant; a single larger record is still sent.
constexpr auto maxGrantRecordBytes = std::size_t{256} * 1024;
/// After this many renewal intervals without a grant, the next renewal goes to another grantor.
constexpr auto grantorTimeoutIntervals = 3;
/// A relay reports the entries that renewed, and the demand received, within this many renewal
/// intervals.
constexpr auto recentIntervals = 2;
/// After a grant for fewer renewal intervals than this, another grantor is tried.
constexpr auto minGrantIntervals = 2;
/// The shortest interval between pushes; changes within it are sent to the holders together.
constexpr auto minPushInterval = std::chrono::milliseconds(40);
/// Records that a holder has not applied this long after they were sent are sent again.
constexpr auto recordsInFlightTimeout = std::chrono::milliseconds(1500);
/// The limit for grants of the leader, which are not limited by another lease as those of a relay
/// are.
constexpr auto unlimitedLease = std::chrono::hours(1);

/// Whether \a self cannot register under its incarnation because of the registered record
/// \a known: that one is newer, or has the same incarnation but was marked as lost, so that its
/// claims are abandoned.
auto requiresNewIncarnation(const EntryRecord &known, const EntryRecord &self) -> bool
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
    const auto mayWork = lease_.allowsWork(machine_.state().applied_, now);
    auto interval = mayWork ? settings_.renewalInterval_ : settings_.renewalIntervalWithoutLease_;
    if (hasUnsentConfirmation(now))
        interval = std::min(interval, settings_.confirmationInterval_);
    if (now - lastRenewalAt_ < interval)
        return;
    lastRenewalAt_ = now;
    if (isLeaderNow(now)) {
        renewAsLeader(now);
        return;
    }
    if (const auto grantor = selectGrantor())
        sendRenewal(*grantor, now);
}

auto ControlService::hasUnsentConfirmation(MonotonicTime now) const -> bool
{
    const auto withdrawnIndex = machine_.state().withdrawnIndex_;
    // A leader renews its own lease without a message, so it has no confirmation to send.
    return !leading_ && reportedConfirmedIndex_ < withdrawnIndex
        && localConfirmedIndex(now) >= withdrawnIndex;
}

auto ControlService::renewAsLeader(MonotonicTime now) -> void
{
    const auto number = lease_.startRenewal(now);
    lease_.renewalGranted(number, settings_.stateLeaseDuration_, machine_.state().requiredIndex_);
    leader_ = settings_.ownRecord_.id_;
    isRelay_ = replica_ != nullptr;
}

auto ControlService::selectGrantor() -> std::optional<EntryId>
{
    const auto now = hooks_.now_();
    const auto isSilent = now - lastGrantAt_ > grantorTimeoutIntervals * settings_.renewalInterval_;
    if (replica_ != nullptr) {
        // A learner takes no part in elections, so that it goes on following a leader that is lost.
        const auto isStale = isSilent && replica_->role() == ReplicaRole::Learner;
        if (const auto known = replica_->leader(); known && !isStale)
            leader_ = *known;
    }
    if (replica_ != nullptr && !leader_.empty() && leader_ != settings_.ownRecord_.id_ && !isSilent)
        return leader_;
    const auto isRotating = settings_.grantorsInRotation_ > 1;
    const auto keepsGrantor = replica_ == nullptr && !grantor_.empty() && !isSilent && !isRotating;
    if (keepsGrantor && grantor_ != leader_)
        return grantor_;
    const auto candidates = rankedGrantors();
    if (candidates.empty())
        return std::nullopt;
    const auto isLimited = replica_ == nullptr && isRotating && !isSilent;
    auto count = isLimited ? std::min(settings_.grantorsInRotation_, candidates.size())
                           : candidates.size();
    // Leaves out the last candidate, usually the leader, whose time is kept for the log and for
    // the relays.
    if (keepsGrantor && count > 1)
        --count;
    return candidates[nextGrantor_++ % count];
}

auto ControlService::rankedGrantors() const -> std::vector<EntryId>
{
    auto ranked = std::vector<EntryId>{};
    auto otherZones = std::vector<EntryId>{};
    const auto &self = settings_.ownRecord_;
    for (const auto &[id, entry] : machine_.state().entries_) {
        if (!entry.control_ || id == self.id_ || entry.phase_ == EntryPhase::Lost)
            continue;
        (entry.zone_ == self.zone_ ? ranked : otherZones).push_back(id);
    }
    // The start depends on a hash of the entry's id, which spreads the load within a zone.
    const auto start = std::hash<std::string>{}(self.id_.text());
    for (auto *tier : {&ranked, &otherZones}) {
        if (!tier->empty())
            std::rotate(tier->begin(), tier->begin() + start % tier->size(), tier->end());
    }
    ranked.insert(ranked.end(), otherZones.begin(), otherZones.end());
    std::stable_partition(ranked.begin(), ranked.end(),
                          [this](const EntryId &relay) { return relay != leader_; });
    for (const auto &voter : settings_.initialVoters_) {
        if (voter != self.id_ && std::find(ranked.begin(), ranked.end(), voter) == ranked.end())
            ranked.push_back(voter);
    }
    // With an empty state a control instance knows the leader only from the grants of others.
    if (replica_ != nullptr && !leader_.empty() && leader_ != self.id_
        && std::find(ranked.begin(), ranked.end(), leader_) == ranked.end())
        ranked.push_back(leader_);
    return ranked;
}

auto ControlService::sendRenewal(const EntryId &to, MonotonicTime now) -> void
{
    auto renewal = Renewal{.number_ = lease_.startRenewal(now),
                           .entry_ = settings_.ownRecord_,
                           .confirmed_ = localConfirmedIndex(now),
                           .applied_ = machine_.state().applied_};
    reportedConfirmedIndex_ = renewal.confirmed_;
    if (isRelay_)
        renewal.holders_ = recentlyRenewedEntries(now);
    for (const auto &[pool, groups] : totalDemand(now))
        renewal.demand_.push_back({pool, groups});
    hooks_.sendReplacingQueued_(to, "control.renew", encode(renewal));
}

auto ControlService::setLocalDemand(std::vector<PoolDemand> demand) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    localDemand_ = std::move(demand);
}

auto ControlService::demand() const -> std::map<PoolName, double>
{
    const auto lock = std::scoped_lock(mutex_);
    return totalDemand(hooks_.now_());
}

auto ControlService::totalDemand(MonotonicTime now) const -> std::map<PoolName, double>
{
    auto sum = std::map<PoolName, double>{};
    for (const auto &item : localDemand_)
        sum[item.pool_] += item.groups_;
    for (const auto &[entry, reported] : reportedDemand_) {
        if (now - reported.receivedAt_ >= recentIntervals * settings_.renewalInterval_)
            continue;
        for (const auto &item : reported.demand_)
            sum[item.pool_] += item.groups_;
    }
    return sum;
}

auto ControlService::recentlyRenewedEntries(MonotonicTime now) const -> std::vector<EntryId>
{
    auto recent = std::vector<EntryId>{};
    for (const auto &[entry, heardAt] : lastHeardAt_) {
        if (now - heardAt < recentIntervals * settings_.renewalInterval_)
            recent.push_back(entry);
    }
    return recent;
}

auto ControlService::localConfirmedIndex(MonotonicTime now) const -> LogIndex
{
    const auto applied = machine_.state().applied_;
    if (replica_ == nullptr)
        return applied;
    return isRelay_ ? entryLeases_.confirmedIndex(applied, now) : LogIndex{0};
}

auto ControlService::onRenewal(const EntryId &from, const Renewal &renewal) -> void
{
    const auto now = hooks_.now_();
    updatePeerAddress(renewal.entry_);
    if (replica_ == nullptr)
        return;
    reportedDemand_[renewal.entry_.id_] = ReportedDemand{renewal.demand_, now};
    auto grant = LeaseGrant{.number_ = renewal.number_, .leader_ = leader_};
    if (renewal.entry_.control_ && isLeaderNow(now))
        grant = grantAsLeader(renewal, now);
    else if (renewal.entry_.control_)
        grant.leaderAddress_ = peerAddressOf(leader_);
    else
        grant = grantAsRelay(renewal, now);
    grant.inForceIndex_ = inForceIndex_;
    hooks_.send_(from, "control.grant", encode(grant));
}

auto ControlService::peerAddressOf(const EntryId &id) const -> std::string
{
    const auto &entries = machine_.state().entries_;
    const auto found = entries.find(id);
    return found == entries.end() ? std::string() : found->second.peerAddress_;
}

auto ControlService::grantAsLeader(const Renewal &renewal, MonotonicTime now) -> LeaseGrant
{
    const auto &id = renewal.entry_.id_;
    replica_->addLearner(id);
    lastHeardAt_[id] = now;
    for (const auto &holder : renewal.holders_)
        lastHeardAt_[holder] = now;
    const auto &state = machine_.state();
    auto grant = LeaseGrant{.number_ = renewal.number_,
                            .requiredIndex_ = state.requiredIndex_,
                            .leader_ = settings_.ownRecord_.id_};
    if (state.entries_.contains(id))
        grant.durationMs_
            = toMilliseconds(relayLeases_.grant(id, renewal.confirmed_, unlimitedLease, now));
    else
        appendIfLeader(encodeCommand(PutEntry{renewal.entry_}), nullptr,
                       now + settings_.registrationInterval_);
    return grant;
}

auto ControlService::grantAsRelay(const Renewal &renewal, MonotonicTime now) -> LeaseGrant
{
    const auto &state = machine_.state();
    auto grant = LeaseGrant{
        .number_ = renewal.number_, .requiredIndex_ = state.applied_, .leader_ = leader_};
    if (isRelay_)
        lastHeardAt_[renewal.entry_.id_] = now;
    const auto mayGrant = isRelay_ && lease_.allowsWork(state.applied_, now)
        && state.entries_.contains(renewal.entry_.id_);
    if (mayGrant)
        grant.durationMs_ = toMilliseconds(
            entryLeases_.grant(renewal.entry_.id_, renewal.applied_, lease_.remaining(now), now));
    // Records in flight are not sent again: a holder that lags would receive them many times.
    auto &progress = holderProgress_[renewal.entry_.id_];
    const auto isSameRun = progress.incarnation_ == renewal.entry_.incarnation_;
    const auto isStalled = progress.applied_ == renewal.applied_
        && progress.sentIndex_ > renewal.applied_
        && now - progress.appliedSince_ >= recordsInFlightTimeout;
    if (!isSameRun || isStalled || progress.sentIndex_ < renewal.applied_)
        progress.sentIndex_ = renewal.applied_;
    if (!isSameRun || isStalled || progress.applied_ != renewal.applied_)
        progress.appliedSince_ = now;
    progress.incarnation_ = renewal.entry_.incarnation_;
    progress.applied_ = renewal.applied_;
    addRecords(grant, progress.sentIndex_);
    updateSentIndex(renewal.entry_.id_, grant);
    return grant;
}

auto ControlService::updateSentIndex(const EntryId &holder, const LeaseGrant &grant) -> void
{
    auto &progress = holderProgress_[holder];
    if (grant.snapshot_)
        progress.sentIndex_
            = std::max(progress.sentIndex_, replica_->latestSnapshot().position_.index_);
    if (!grant.records_.empty())
        progress.sentIndex_ = std::max(progress.sentIndex_, grant.records_.back().index_);
}

auto ControlService::pushRecords(MonotonicTime now) -> void
{
    if (replica_ == nullptr || !isRelay_)
        return;
    if (now - pushedAt_ < minPushInterval)
        return;
    auto holdersBySentIndex = std::map<LogIndex, std::vector<EntryId>>{};
    for (const auto &holder : entryLeases_.holders(now)) {
        const auto progress = holderProgress_.find(holder);
        if (progress != holderProgress_.end()
            && progress->second.sentIndex_ < machine_.state().applied_)
            holdersBySentIndex[progress->second.sentIndex_].push_back(holder);
    }
    for (const auto &[index, holders] : holdersBySentIndex) {
        pushedAt_ = now;
        auto grant = LeaseGrant{.inForceIndex_ = inForceIndex_, .leader_ = leader_};
        addRecords(grant, index);
        for (const auto &holder : holders)
            updateSentIndex(holder, grant);
        hooks_.sendAll_(holders, "control.grant", encode(grant));
    }
}

auto ControlService::addRecords(LeaseGrant &grant, LogIndex after) const -> void
{
    const auto committed = replica_->recordsFrom(after + 1, maxGrantRecordBytes);
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
    const auto isNewLeader = !grant.leader_.empty() && grant.leader_ != leader_;
    if (isNewLeader)
        leader_ = grant.leader_;
    if (!grant.leaderAddress_.empty() && leader_ != settings_.ownRecord_.id_) {
        hooks_.setPeerAddress_(leader_, grant.leaderAddress_);
        // An instance that waits for a leader renews with it at once.
        if (isNewLeader && !lease_.allowsWork(machine_.state().applied_, now))
            sendRenewal(leader_, now);
    }
    if (replica_ == nullptr)
        applyGrantedRecords(grant);
    inForceIndex_ = std::max(inForceIndex_, grant.inForceIndex_);
    // A relay that is cut off from the leader grants ever shorter leases as its own runs out, so
    // the next renewal goes to another grantor.
    const auto isShort = std::chrono::milliseconds(grant.durationMs_)
        < minGrantIntervals * settings_.renewalInterval_;
    if (!isShort)
        grantor_ = from;
    else if (grant.number_ != 0 && grantor_ == from)
        grantor_ = EntryId();
    if (grant.durationMs_ == 0)
        return;
    lastGrantAt_ = now;
    lease_.renewalGranted(grant.number_, std::chrono::milliseconds(grant.durationMs_),
                          grant.requiredIndex_);
    isRelay_ = replica_ != nullptr;
    emitLeaseChange(now);
}

auto ControlService::applyGrantedRecords(const LeaseGrant &grant) -> void
{
    if (grant.snapshot_)
        restoreSnapshot(*grant.snapshot_);
    for (const auto &record : grant.records_) {
        if (record.index_ != machine_.state().applied_ + 1)
            continue;
        if (!record.command_.empty())
            applyMeasured(record.index_, record.command_);
        machine_.advance(record.index_);
    }
}

auto ControlService::updateLeadership(MonotonicTime now) -> void
{
    const auto isLeader = isLeaderNow(now);
    if (isLeader == leading_)
        return;
    leading_ = isLeader;
    if (!isLeader)
        return;
    // Entries that are silent from before the election are timed from here on.
    lastHeardAt_.clear();
    auto relays = std::vector<EntryId>{};
    for (const auto &[id, entry] : machine_.state().entries_) {
        lastHeardAt_.emplace(id, now);
        if (entry.control_ && id != settings_.ownRecord_.id_)
            relays.push_back(id);
    }
    relayLeases_.takeOverHolders(relays, now);
    renewAsLeader(now);
}

auto ControlService::updateInForce(MonotonicTime now) -> void
{
    if (!leading_ || !isRelay_)
        return;
    const auto confirmed = relayLeases_.confirmedIndex(localConfirmedIndex(now), now);
    inForceIndex_ = std::max(inForceIndex_, confirmed);
    pushInForceIndex(now);
    const auto &state = machine_.state();
    if (inForceIndex_ < state.requiredIndex_ || versionInForce_ == state.version_)
        return;
    versionInForce_ = state.version_;
    hooks_.event_(
        Event{EventNumber::ConfigurationInForce, {{"version", std::to_string(state.version_)}}});
}

auto ControlService::pushInForceIndex(MonotonicTime now) -> void
{
    const auto withdrawnIndex = machine_.state().withdrawnIndex_;
    if (pushedWithdrawnIndex_ >= withdrawnIndex || inForceIndex_ < withdrawnIndex)
        return;
    pushedWithdrawnIndex_ = withdrawnIndex;
    const auto update
        = LeaseGrant{.inForceIndex_ = inForceIndex_, .leader_ = settings_.ownRecord_.id_};
    hooks_.sendAll_(relayLeases_.holders(now), "control.grant", encode(update));
}

auto ControlService::markSilentEntriesLost(MonotonicTime now) -> void
{
    const auto silenceLimit
        = settings_.entryLostTimeout_.value_or(2 * settings_.stateLeaseDuration_);
    if (!leading_)
        return;
    for (const auto &[id, entry] : machine_.state().entries_) {
        if (entry.phase_ == EntryPhase::Lost || id == settings_.ownRecord_.id_)
            continue;
        auto &lastHeard = lastHeardAt_.try_emplace(id, now).first->second;
        if (now - lastHeard < silenceLimit)
            continue;
        lastHeard = now;
        appendIfLeader(encodeCommand(SetEntryPhase{id, entry.incarnation_, EntryPhase::Lost}),
                       nullptr, now + settings_.proposalTimeout_);
    }
}

auto ControlService::registerWhenNeeded(MonotonicTime now) -> void
{
    if (now - registrationCheckedAt_ < settings_.registrationInterval_)
        return;
    registrationCheckedAt_ = now;
    const auto &entries = machine_.state().entries_;
    const auto found = entries.find(settings_.ownRecord_.id_);
    if (found != entries.end() && found->second == settings_.ownRecord_)
        return;
    if (found != entries.end() && requiresNewIncarnation(found->second, settings_.ownRecord_))
        settings_.ownRecord_.incarnation_ = found->second.incarnation_ + 1;
    const auto command = encodeCommand(PutEntry{settings_.ownRecord_});
    const auto deadline = now + settings_.registrationInterval_;
    if (appendIfLeader(command, nullptr, deadline))
        return;
    const auto number = ++lastProposalNumber_;
    auto &forwarded = forwardedProposals_[number];
    forwarded = ForwardedProposal{.command_ = command, .deadline_ = deadline};
    forwardToLeader(forwarded, number, now);
}

auto ControlService::registerAsLeaving() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    settings_.ownRecord_.phase_ = EntryPhase::Leaving;
    registrationCheckedAt_ = MonotonicTime{};
}

auto ControlService::emitLeaseChange(MonotonicTime now) -> void
{
    const auto mayWork = lease_.allowsWork(machine_.state().applied_, now);
    if (mayWork == mayWork_)
        return;
    mayWork_ = mayWork;
    const auto number = mayWork ? EventNumber::StateLeaseRenewed : EventNumber::StateLeaseExpired;
    hooks_.event_(Event{number, {{"entry", settings_.ownRecord_.id_.text()}}});
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

auto ControlService::holdersBehind(LogIndex index) const -> std::vector<EntryId>
{
    const auto lock = std::scoped_lock(mutex_);
    if (!leading_)
        return {};
    const auto now = hooks_.now_();
    auto lagging = relayLeases_.holdersBehind(index, now);
    const auto laggingEntries = entryLeases_.holdersBehind(index, now);
    lagging.insert(lagging.end(), laggingEntries.begin(), laggingEntries.end());
    return lagging;
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
