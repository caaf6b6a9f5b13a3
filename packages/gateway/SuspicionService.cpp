#include "gateway/SuspicionService.h"

#include "control/ControlService.h"
#include "gateway/CrashNotice.h"
#include "transport/WorkerPool.h"

#include <mutex>
#include <utility>

namespace lycheereach {

namespace {

/// An entry that has not acknowledged a crash in this time holds no live lease for long.
constexpr auto shareTimeout = std::chrono::milliseconds(1500);

} // namespace

SuspicionService::SuspicionService(EntryId self, ControlService &control, WorkerPool &workers,
                                   Send send, EventSink event, MonotonicClock now)
    : self_(std::move(self))
    , control_(control)
    , workers_(workers)
    , send_(std::move(send))
    , event_(std::move(event))
    , now_(std::move(now))
    , mutex_(LockRank::Requests)
{ }

auto SuspicionService::stateChanged() -> void
{
    control_.readState([this](const FleetState &state) {
        auto blocked = std::set<std::string>{};
        for (const auto &[fingerprint, since] : state.blocked_)
            blocked.insert(fingerprint);
        const auto lock = std::scoped_lock(mutex_);
        table_.setBlocked(blocked, now_());
    });
}

auto SuspicionService::tick() -> void
{
    auto late = std::vector<Sharing>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = now_();
        table_.removeExpired(now);
        for (auto item = sharing_.begin(); item != sharing_.end();) {
            if (now < item->second.giveUpAt_) {
                ++item;
                continue;
            }
            late.push_back(std::move(item->second));
            item = sharing_.erase(item);
        }
    }
    for (auto &sharing : late)
        conclude(std::move(sharing));
}

auto SuspicionService::others() const -> std::set<EntryId>
{
    auto entries = control_.liveEntries();
    entries.erase(self_);
    return entries;
}

auto SuspicionService::report(const std::string &target, Epoch epoch,
                              const std::string &fingerprint, RulingCallback done) -> void
{
    const auto crash = CrashReport{target, epoch, {fingerprint}};
    event_(Event{EventNumber::RequestSuspected, {{"group", target}, {"reason", fingerprint}}});
    take(crash);
    auto sharing = Sharing{fingerprint, others(), now_() + shareTimeout, std::move(done)};
    const auto everyone = sharing.waitingFor_;
    if (everyone.empty()) {
        conclude(std::move(sharing));
        return;
    }
    auto notice = CrashNotice{.crash_ = crash};
    {
        const auto lock = std::scoped_lock(mutex_);
        notice.number_ = ++lastNumber_;
        sharing_[notice.number_] = std::move(sharing);
    }
    for (const auto &entry : everyone)
        send_(entry, "crash.report", encode(notice));
}

auto SuspicionService::take(const CrashReport &crash) -> void
{
    auto named = std::vector<std::string>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        named = table_.report(crash, now_());
    }
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto atMs = std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
    for (const auto &fingerprint : named)
        control_.propose(BlockRequest{fingerprint, atMs}, nullptr);
}

auto SuspicionService::receive(const EntryId &from, const std::string &method, const Json &params)
    -> bool
{
    if (method == "crash.report") {
        if (const auto notice = decode<CrashNotice>(params)) {
            take(notice->crash_);
            send_(from, "crash.known", Json{{"number", notice->number_}});
        }
        return true;
    }
    if (method == "crash.known") {
        if (params.is_object() && params.contains("number") && params["number"].is_number())
            acknowledged(params["number"].get<std::uint64_t>(), from);
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

auto SuspicionService::acknowledged(std::uint64_t number, const EntryId &from) -> void
{
    auto whole = Sharing{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = sharing_.find(number);
        if (found == sharing_.end())
            return;
        found->second.waitingFor_.erase(from);
        if (!found->second.waitingFor_.empty())
            return;
        whole = std::move(found->second);
        sharing_.erase(found);
    }
    conclude(std::move(whole));
}

auto SuspicionService::conclude(Sharing sharing) -> void
{
    workers_.post(
        [done = std::move(sharing.done_), ruling = ruling(sharing.fingerprint_)] { done(ruling); });
}

auto SuspicionService::served(const std::string &fingerprint) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        table_.clearSuspicion(fingerprint);
    }
    for (const auto &entry : others())
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
