/// \file
/// \brief Entries, upstreams and claims that run RequestMachine over a simulated time, with faults.
#pragma once

#include "requests/RequestMachine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// What goes wrong.
enum class Fault {
    None,
    StopEntry,
    KillUpstream,
    LateEvent,
    DuplicateEvent,
    CutConnection,
    SilentConnection,
    FreezeEntry,
    CrossedAnswer,
    RefuseNotRun,
    LoseClaimAnswer,
    CallerGone,
    RefusePermit,
    Count,
};

/// What a caller got.
struct FakeReply
{
    bool whole_ = false;
    Verdict verdict_ = Verdict::NotRun;
    std::uint16_t status_ = 0;
    std::string text_;
    MonotonicTime at_;
    /// Runs under the request's key, or of the request without one, at the time of the reply.
    std::uint32_t runsThen_ = 0;
};

/// Two upstreams, the ledger of claims, and an entry for each request.
class FleetFake
{
public:
    /// Injects \a fault after \a step actions.
    FleetFake(Fault fault, std::uint32_t step);

    /// Sends a request through an entry of its own and runs until nothing is left to do.
    auto send(RequestPlan plan) -> std::size_t;

    [[nodiscard]] auto now() const -> MonotonicTime { return now_; }
    /// Nothing when the caller got none.
    [[nodiscard]] auto reply(std::size_t entry) const -> std::optional<FakeReply>;
    [[nodiscard]] auto finished(std::size_t entry) const -> bool;
    [[nodiscard]] auto alive(std::size_t entry) const -> bool { return !entries_[entry].dead_; }
    [[nodiscard]] auto frozenUntil(std::size_t entry) const -> MonotonicTime;
    [[nodiscard]] auto callerGone(std::size_t entry) const -> bool;
    [[nodiscard]] auto runs(const std::string &name) const -> std::uint32_t;
    [[nodiscard]] auto permitsOut() const -> int { return permitsOut_; }
    /// How often bytes of a new run left without the right to it.
    [[nodiscard]] auto lateDispatches() const -> std::uint32_t { return lateDispatches_; }
    /// Whether the fault came to pass.
    [[nodiscard]] auto injected() const -> bool { return injected_; }

    /// The name under which runs of \a plan are counted.
    static auto nameOf(const RequestPlan &plan) -> std::string;
    /// The whole answer to \a plan.
    static auto answerTo(const RequestPlan &plan) -> std::string;

private:
    struct Entry
    {
        RequestPlan plan_;
        std::unique_ptr<RequestMachine> machine_;
        std::optional<FakeReply> reply_;
        std::string streamed_;
        MonotonicTime frozenUntil_;
        /// The end of the right to dispatch.
        MonotonicTime rightUntil_;
        bool dead_ = false;
        bool callerGone_ = false;
    };

    struct Connection
    {
        std::size_t entry_ = 0;
        request_action::StartAttempt start_;
        std::size_t upstream_ = 0;
        std::uint64_t incarnation_ = 0;
        bool open_ = true;
        bool sent_ = false;
        bool silent_ = false;
        /// Bytes arrive no earlier, in their order.
        MonotonicTime notBefore_;
    };

    struct Upstream
    {
        std::uint64_t incarnation_ = 1;
        bool alive_ = true;
    };

    struct Scheduled
    {
        MonotonicTime at_;
        std::uint64_t number_ = 0;
        std::function<void()> work_;

        auto operator<(const Scheduled &other) const -> bool
        {
            return std::pair(at_, number_) > std::pair(other.at_, other.number_);
        }
    };

    auto after(Duration delay, std::function<void()> work) -> void;
    auto post(std::size_t entry, Duration delay, RequestEvent event) -> void;
    auto deliver(std::size_t entry, const RequestEvent &event) -> void;
    auto inject(std::size_t entry) -> void;
    auto loseEntry(std::size_t entry, Duration delay) -> void;
    auto killUpstream() -> void;
    auto closeConnections(std::size_t entry, bool silently) -> void;
    auto endConnection(std::size_t connection, Error error, Duration delay) -> void;

    auto perform(std::size_t entry, const request_action::TakePermit &action) -> void;
    auto perform(std::size_t entry, const request_action::AbandonPermit &action) -> void;
    auto perform(std::size_t entry, const request_action::CommitClaim &action) -> void;
    auto perform(std::size_t entry, const request_action::StartAttempt &action) -> void;
    auto perform(std::size_t entry, const request_action::CancelAttempt &action) -> void;
    auto perform(std::size_t entry, const request_action::SettleClaim &action) -> void;
    auto perform(std::size_t entry, const request_action::ReturnPermit &action) -> void;
    auto perform(std::size_t entry, const request_action::Probe &action) -> void;
    auto perform(std::size_t entry, const request_action::ReportSuspect &action) -> void;
    auto perform(std::size_t entry, const request_action::ClearSuspect &action) -> void;
    auto perform(std::size_t entry, const request_action::ArmTimer &action) -> void;
    auto perform(std::size_t entry, const request_action::SendAnswer &action) -> void;
    auto perform(std::size_t entry, const request_action::SendHead &action) -> void;
    auto perform(std::size_t entry, const request_action::SendPart &action) -> void;
    auto perform(std::size_t entry, const request_action::SendEnd &action) -> void;
    auto perform(std::size_t entry, const request_action::SendError &action) -> void;
    auto perform(std::size_t entry, const request_action::NoteWrongAnswer &action) -> void;

    auto claim(std::size_t entry) -> CommandOutcome;
    /// The bytes leave the entry, if it still may.
    auto dispatch(std::size_t connection) -> void;
    /// The bytes reach the upstream.
    auto run(std::size_t connection) -> void;
    auto answer(std::size_t connection) -> void;
    auto answerPart(std::size_t connection, Duration delay, RequestEvent event) -> void;
    auto noteReply(std::size_t entry, FakeReply reply) -> void;

    Fault fault_;
    std::uint32_t step_;
    std::uint32_t actions_ = 0;
    bool injected_ = false;
    MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));
    std::uint64_t nextNumber_ = 0;
    std::priority_queue<Scheduled> work_;
    std::vector<Entry> entries_;
    std::vector<Connection> connections_;
    std::vector<Upstream> upstreams_ = {{}, {}, {}};
    std::map<IdempotencyKey, Claim> claims_;
    std::map<std::string, std::uint32_t> runs_;
    int permitsOut_ = 0;
    bool lateNext_ = false;
    bool duplicateNext_ = false;
    bool crossNext_ = false;
    bool refuseNext_ = false;
    bool loseClaimNext_ = false;
    bool refusePermitNext_ = false;
    std::uint32_t lateDispatches_ = 0;
};

} // namespace lycheereach
