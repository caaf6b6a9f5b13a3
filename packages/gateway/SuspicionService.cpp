#include "gateway/SuspicionService.h"

#include "control/ControlService.h"
#include "gateway/CrashNotice.h"
#include "transport/WorkerPool.h"

#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// An entry that takes longer to acknowledge a crash won't hold a live state lease for long.
constexpr auto acknowledgementTimeout = std::chrono::milliseconds(1500);

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
{ }

auto SuspicionService::stateChanged() -> void
{
    control_.readState([this](const FleetState &state) {
        auto blocked = std::set<std::string>{};
        for (const auto &[fingerprint, since] : state.blocked_)
            blocked.insert(fingerprint);
        const auto lock = std::scoped_lock(mutex_);
        table_.setBlocked(blocked, clock_());
    });
}

auto SuspicionService::tick() -> void
{
    auto timedOut = std::vector<PendingReport>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = clock_();
        table_.removeExpired(now);
        for (auto report = pendingReports_.begin(); report != pendingReports_.end();) {
            if (now < report->second.timeoutAt_) {
                ++report;
                continue;
            }
            timedOut.push_back(std::move(report->second));
            report = pendingReports_.erase(report);
        }
    }
    for (auto &report : timedOut)
        finishReport(std::move(report));
}

auto SuspicionService::otherEntries() const -> std::set<EntryId>
{
    auto entries = control_.liveEntries();
    entries.erase(self_);
    return entries;
}

auto SuspicionService::reportCrash(const std::string &target, Epoch epoch,
                                   const std::string &fingerprint, RulingCallback done) -> void
{
    const auto crash = CrashReport{target, epoch, {fingerprint}};
    eventSink_(Event{EventNumber::RequestSuspected, {{"group", target}, {"reason", fingerprint}}});
    recordCrash(crash);
    auto report = PendingReport{fingerprint, otherEntries(), clock_() + acknowledgementTimeout,
                                std::move(done)};
    const auto receivers = report.unacknowledgedBy_;
    if (receivers.empty()) {
        finishReport(std::move(report));
        return;
    }
    auto notice = CrashNotice{.report_ = crash};
    {
        const auto lock = std::scoped_lock(mutex_);
        notice.number_ = ++lastReportNumber_;
        pendingReports_[notice.number_] = std::move(report);
    }
    for (const auto &entry : receivers)
        send_(entry, "crash.report", encode(notice));
}

auto SuspicionService::recordCrash(const CrashReport &crash) -> void
{
    auto fingerprintsToBlock = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        fingerprintsToBlock = table_.report(crash, clock_());
    }
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto atMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    for (const auto &fingerprint : fingerprintsToBlock)
        control_.propose(BlockRequest{fingerprint, atMs}, nullptr);
}

auto SuspicionService::receive(const EntryId &from, const std::string &method, const Json &params)
    -> bool
{
    if (method == "crash.report") {
        if (const auto notice = decode<CrashNotice>(params)) {
            recordCrash(notice->report_);
            send_(from, "crash.known", Json{{"number", notice->number_}});
        }
        return true;
    }
    if (method == "crash.known") {
        if (params.is_object() && params.contains("number") && params["number"].is_number())
            handleAcknowledgement(params["number"].get<std::uint64_t>(), from);
        return true;
    }
    if (method == "crash.served") {
        if (params.is_string()) {
            const auto lock = std::scoped_lock(mutex_);
            table_.clearSuspicion(params.get<std::string>());
        }
        return true;
    }
    return false;
}

auto SuspicionService::handleAcknowledgement(std::uint64_t number, const EntryId &from) -> void
{
    auto complete = PendingReport{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = pendingReports_.find(number);
        if (found == pendingReports_.end())
            return;
        found->second.unacknowledgedBy_.erase(from);
        if (!found->second.unacknowledgedBy_.empty())
            return;
        complete = std::move(found->second);
        pendingReports_.erase(found);
    }
    finishReport(std::move(complete));
}

auto SuspicionService::finishReport(PendingReport report) -> void
{
    workers_.post([done = std::move(report.done_), suspicion = ruling(report.fingerprint_)] {
        done(suspicion);
    });
}

auto SuspicionService::requestServed(const std::string &fingerprint) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        table_.clearSuspicion(fingerprint);
    }
    for (const auto &entry : otherEntries())
        send_(entry, "crash.served", fingerprint);
}

auto SuspicionService::ruling(const std::string &fingerprint) const -> SuspicionStatus
{
    const auto lock = std::scoped_lock(mutex_);
    return table_.status(fingerprint);
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
