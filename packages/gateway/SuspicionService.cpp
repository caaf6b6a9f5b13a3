#include "gateway/SuspicionService.h"

#include "control/ControlService.h"
#include "gateway/CrashNotice.h"
#include "requests/CrashMessages.h"
#include "requests/RequestFingerprint.h"
#include "transport/WorkerPool.h"

#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// An entry that takes longer to acknowledge a crash won't hold a live state lease for long.
constexpr auto acknowledgementTimeout = std::chrono::milliseconds(1500);
constexpr auto proposalInterval = std::chrono::milliseconds(500);

} // namespace

SuspicionService::SuspicionService(EntryId self, ControlService &control, WorkerPool &workers,
                                   Send send, EventSink eventSink, MonotonicClock clock)
    : self_(std::move(self))
    , control_(control)
    , workers_(workers)
    , send_(std::move(send))
    , eventSink_(std::move(eventSink))
    , clock_(std::move(clock))
    , mutex_(LockRank::Requests)
    , table_(SuspicionTable::defaultRetention, SuspicionTable::fleetSettleTime)
{ }

auto SuspicionService::stateChanged() -> void
{
    control_.readState([this](const FleetState &state) {
        auto blocked = std::set<std::string>{};
        for (const auto &[fingerprint, since] : state.blocked_)
            blocked.insert(fingerprint);
        const auto lock = std::scoped_lock(mutex_);
        blockExpiry_.update(blocked, clock_());
        std::erase_if(refusalToldAt_,
                      [&](const auto &item) { return !blocked.contains(item.first); });
        std::erase_if(pendingBlocks_,
                      [&](const auto &item) { return blocked.contains(item.first); });
        for (const auto &[fingerprint, proposedAt] : pendingBlocks_)
            blocked.insert(fingerprint);
        table_.setBlocked(blocked, clock_());
    });
}

auto SuspicionService::tick() -> void
{
    auto finished = std::vector<PendingReport>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = clock_();
        table_.removeExpired(now);
        for (auto &cause : table_.takeCauses(now))
            pendingBlocks_.emplace(std::move(cause), now - proposalInterval);
        for (auto report = pendingReports_.begin(); report != pendingReports_.end();) {
            const auto isAcknowledged
                = report->second.unacknowledgedBy_.empty() && now >= report->second.settledAt_;
            if (!isAcknowledged && now < report->second.timeoutAt_) {
                ++report;
                continue;
            }
            finished.push_back(std::move(report->second));
            report = pendingReports_.erase(report);
        }
    }
    proposeBlocks();
    proposeUnblocks();
    for (auto &report : finished)
        finishReport(std::move(report));
}

auto SuspicionService::proposeBlocks() -> void
{
    auto due = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = clock_();
        for (auto &[fingerprint, proposedAt] : pendingBlocks_) {
            if (now - proposedAt < proposalInterval)
                continue;
            proposedAt = now;
            due.push_back(fingerprint);
        }
    }
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto atMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    for (const auto &fingerprint : due)
        control_.propose(BlockRequest{fingerprint, atMs}, nullptr);
}

auto SuspicionService::proposeUnblocks() -> void
{
    if (!control_.isLeader())
        return;
    auto expired = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        expired = blockExpiry_.takeExpired(clock_());
    }
    for (const auto &fingerprint : expired)
        control_.propose(UnblockRequest{fingerprint}, nullptr);
}

auto SuspicionService::requestRefused(const std::vector<std::string> &fingerprints) -> void
{
    auto untold = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = clock_();
        for (const auto &fingerprint : fingerprints) {
            if (table_.status(fingerprint) != SuspicionStatus::Blocked)
                continue;
            blockExpiry_.recordRefusal(fingerprint, now);
            const auto [told, isNew] = refusalToldAt_.emplace(fingerprint, now);
            if (!isNew && now - told->second < BlockExpiry::refusalReportInterval)
                continue;
            told->second = now;
            untold.push_back(fingerprint);
        }
    }
    if (untold.empty())
        return;
    for (const auto &entry : otherEntries())
        send_(entry, crash_message::refused, untold);
}

auto SuspicionService::otherEntries() const -> std::set<EntryId>
{
    auto entries = control_.liveEntries();
    entries.erase(self_);
    return entries;
}

auto SuspicionService::reportCrash(const std::string &target, Epoch epoch,
                                   const std::vector<std::string> &fingerprints,
                                   RulingCallback done) -> void
{
    const auto now = clock_();
    auto notice = CrashNotice{.report_ = CrashReport{target, epoch, fingerprints}};
    auto &suspects = notice.report_.fingerprints_;
    const auto receivers = otherEntries();
    {
        const auto lock = std::scoped_lock(mutex_);
        std::erase_if(suspects, [&](const auto &item) { return proven_.contains(item, now); });
        table_.report(notice.report_, now);
        notice.number_ = ++lastReportNumber_;
        pendingReports_[notice.number_]
            = PendingReport{fingerprints, receivers, now + SuspicionTable::fleetSettleTime,
                            now + acknowledgementTimeout, std::move(done)};
    }
    for (const auto &fingerprint : suspects)
        eventSink_(
            Event{EventNumber::RequestSuspected, {{"group", target}, {"reason", fingerprint}}});
    for (const auto &entry : receivers)
        send_(entry, crash_message::report, encode(notice));
}

auto SuspicionService::receive(const EntryId &from, const std::string &method, const Json &params)
    -> bool
{
    if (method == crash_message::report) {
        if (const auto notice = decode<CrashNotice>(params)) {
            {
                const auto lock = std::scoped_lock(mutex_);
                table_.report(notice->report_, clock_());
            }
            clearProven(notice->report_.fingerprints_);
            send_(from, "crash.known", Json{{"number", notice->number_}});
        }
        return true;
    }
    if (method == "crash.known") {
        if (params.is_object() && params.contains("number") && params["number"].is_number()) {
            const auto lock = std::scoped_lock(mutex_);
            const auto found = pendingReports_.find(params["number"].get<std::uint64_t>());
            if (found != pendingReports_.end())
                found->second.unacknowledgedBy_.erase(from);
        }
        return true;
    }
    if (method == crash_message::served) {
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &fingerprint : crash_message::readFingerprints(params))
            table_.clearSuspicion(fingerprint);
        return true;
    }
    if (method == crash_message::refused) {
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &fingerprint : crash_message::readFingerprints(params))
            blockExpiry_.recordRefusal(fingerprint, clock_());
        return true;
    }
    return false;
}

auto SuspicionService::finishReport(PendingReport report) -> void
{
    workers_.post([done = std::move(report.done_), suspicion = ruling(report.fingerprints_)] {
        done(suspicion);
    });
}

auto SuspicionService::clearProven(const std::vector<std::string> &fingerprints) -> void
{
    auto proven = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &fingerprint : fingerprints) {
            if (!proven_.contains(fingerprint, clock_()))
                continue;
            table_.clearSuspicion(fingerprint);
            proven.push_back(fingerprint);
        }
    }
    sendServed(proven);
}

auto SuspicionService::sendServed(const std::vector<std::string> &fingerprints) -> void
{
    if (fingerprints.empty())
        return;
    // One message each, which entries of earlier versions read too.
    for (const auto &entry : otherEntries()) {
        for (const auto &fingerprint : fingerprints)
            send_(entry, crash_message::served, fingerprint);
    }
}

auto SuspicionService::requestServed(const std::vector<std::string> &fingerprints) -> void
{
    auto cleared = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &fingerprint : fingerprints) {
            // A whole request is told by its digest, which hardly ever comes again.
            if (isPartFingerprint(fingerprint))
                proven_.prove(fingerprint, clock_());
            if (table_.clearSuspicion(fingerprint))
                cleared.push_back(fingerprint);
        }
    }
    sendServed(cleared);
}

auto SuspicionService::ruling(const std::vector<std::string> &fingerprints) const -> SuspicionStatus
{
    const auto lock = std::scoped_lock(mutex_);
    return table_.status(fingerprints);
}

auto SuspicionService::findSuspect(const std::vector<std::string> &fingerprints) const
    -> std::optional<std::string>
{
    const auto lock = std::scoped_lock(mutex_);
    for (const auto &fingerprint : fingerprints) {
        if (table_.status(fingerprint) == SuspicionStatus::Suspect)
            return fingerprint;
    }
    return std::nullopt;
}

auto SuspicionService::admit(const std::string &target, const std::string &fingerprint) -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return table_.tryStart(target, fingerprint);
}

auto SuspicionService::leave(const std::string &target, const std::string &fingerprint) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    table_.finishRun(target, fingerprint);
}

} // namespace lycheereach
