/// \file
/// \brief Shares over all entries which requests were in flight at a crash.
#pragma once

#include "base/Event.h"
#include "base/Ids.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "requests/CrashReport.h"
#include "requests/SuspicionTable.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace lycheereach {

class ControlService;
class WorkerPool;

/// Told the ruling once every entry knows of the crash, or has not answered in time.
using RulingCallback = std::function<void(SuspicionStatus)>;

/// Shares crash reports and rulings over all entries. Thread-safe; guarded by one lock of rank
/// LockRank::Requests.
class SuspicionService
{
public:
    using Send = std::function<void(const EntryId &, const std::string &method, Json params)>;

    SuspicionService(EntryId self, ControlService &control, WorkerPool &workers, Send send,
                     EventSink event, MonotonicClock now);

    auto stateChanged() -> void;
    auto tick() -> void;
    /// Takes a message of a peer; true when it was one for this service.
    auto receive(const EntryId &from, const std::string &method, const Json &params) -> bool;
    /// Tells every entry that \a fingerprint was in flight when \a target crashed.
    auto report(const std::string &target, Epoch epoch, const std::string &fingerprint,
                RulingCallback done) -> void;
    /// A suspect was served whole.
    auto served(const std::string &fingerprint) -> void;
    [[nodiscard]] auto ruling(const std::string &fingerprint) const -> SuspicionStatus;
    /// As the leaseholder of \a target.
    auto admit(const std::string &target, const std::string &fingerprint) -> bool;
    auto leave(const std::string &target, const std::string &fingerprint) -> void;

private:
    struct Sharing
    {
        std::string fingerprint_;
        std::set<EntryId> waitingFor_;
        MonotonicTime giveUpAt_;
        RulingCallback done_;
    };

    auto take(const CrashReport &crash) -> void;
    auto acknowledged(std::uint64_t number, const EntryId &from) -> void;
    auto conclude(Sharing sharing) -> void;
    [[nodiscard]] auto others() const -> std::set<EntryId>;

    EntryId self_;
    ControlService &control_;
    WorkerPool &workers_;
    Send send_;
    EventSink event_;
    MonotonicClock now_;
    mutable RankedMutex mutex_;
    SuspicionTable table_;
    std::map<std::uint64_t, Sharing> sharing_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace lycheereach
