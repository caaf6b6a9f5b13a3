#include "serving/CrashLedger.h"

#include "control/ControlService.h"
#include "requests/CrashMessages.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

constexpr auto proposalInterval = std::chrono::milliseconds(500);

auto wallTimeMs(const WallClock &clock) -> std::int64_t
{
    const auto sinceEpoch = clock().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace

CrashLedger::CrashLedger(ControlService &control, CrashLedgerHooks hooks)
    : control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Leaseholder)
    , table_(SuspicionTable::defaultRetention, SuspicionTable::fleetSettleTime)
{ }

auto CrashLedger::receive(const std::string &method, const Json &params) -> bool
{
    if (method == crash_message::report) {
        recordReport(params);
        return true;
    }
    if (method == crash_message::served) {
        const auto fingerprints = crash_message::readFingerprints(params);
        {
            const auto lock = std::scoped_lock(mutex_);
            for (const auto &fingerprint : fingerprints)
                table_.clearSuspicion(fingerprint);
        }
        hooks_.event_(Event{EventNumber::RequestCleared,
                            {{"reason", std::to_string(fingerprints.size()) + " fingerprints"}}});
        return true;
    }
    if (method == crash_message::refused) {
        const auto now = hooks_.now_();
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &fingerprint : crash_message::readFingerprints(params))
            blockExpiry_.recordRefusal(fingerprint, now);
        return true;
    }
    return false;
}

auto CrashLedger::recordReport(const Json &params) -> void
{
    auto decoded = decode<CrashReport>(params);
    if (!decoded) {
        hooks_.event_(Event{EventNumber::RequestSuspected,
                            {{"reason", "unreadable report: " + decoded.failure().message_}}});
        return;
    }
    auto report = std::move(decoded.value());
    auto &fingerprints = report.fingerprints_;
    fingerprints.resize(std::min(fingerprints.size(), crash_message::maxFingerprints));
    hooks_.event_(
        Event{EventNumber::RequestSuspected,
              {{"upstream", report.target_},
               {"reason", std::to_string(fingerprints.size()) + " fingerprints in flight"}}});
    {
        const auto lock = std::scoped_lock(mutex_);
        table_.report(report, hooks_.now_());
    }
    tellNewSuspects();
}

auto CrashLedger::tick() -> void
{
    const auto now = hooks_.now_();
    const auto isLeader = control_.isLeader();
    const auto blocked = control_.readState([](const FleetState &state) {
        auto fingerprints = std::set<std::string>{};
        for (const auto &[fingerprint, since] : state.blocked_)
            fingerprints.insert(fingerprint);
        return fingerprints;
    });
    auto commands = std::vector<Command>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        blockExpiry_.update(blocked, now);
        std::erase_if(pendingBlocks_,
                      [&](const auto &item) { return blocked.contains(item.first); });
        if (!isLeader) {
            toldSuspects_.clear();
            pendingBlocks_.clear();
        }
        auto known = blocked;
        for (const auto &[fingerprint, proposedAt] : pendingBlocks_)
            known.insert(fingerprint);
        table_.setBlocked(known, now);
        table_.removeExpired(now);
        if (isLeader)
            commands = takeCommands(now);
    }
    for (const auto &command : commands)
        control_.propose(command, nullptr);
    tellNewSuspects();
}

auto CrashLedger::takeCommands(MonotonicTime now) -> std::vector<Command>
{
    for (auto &cause : table_.takeCauses(now))
        pendingBlocks_.emplace(std::move(cause), now - proposalInterval);
    auto commands = std::vector<Command>{};
    for (auto &[fingerprint, proposedAt] : pendingBlocks_) {
        if (now - proposedAt < proposalInterval)
            continue;
        proposedAt = now;
        commands.emplace_back(BlockRequest{fingerprint, wallTimeMs(hooks_.wallNow_)});
    }
    for (const auto &fingerprint : blockExpiry_.takeExpired(now))
        commands.emplace_back(UnblockRequest{fingerprint});
    return commands;
}

auto CrashLedger::tellNewSuspects() -> void
{
    if (!control_.isLeader())
        return;
    auto added = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto current = table_.suspects();
        for (const auto &fingerprint : current) {
            if (added.size() < crash_message::maxFingerprints
                && toldSuspects_.insert(fingerprint).second)
                added.push_back(fingerprint);
        }
        std::erase_if(toldSuspects_, [&](const auto &item) { return !current.contains(item); });
    }
    if (added.empty())
        return;
    for (const auto &entry : control_.liveEntries())
        hooks_.send_(entry, crash_message::suspects, added);
}

} // namespace lycheereach
