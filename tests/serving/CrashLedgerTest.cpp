#include "serving/CrashLedger.h"
#include "control/ControlFleet.h"
#include "requests/CrashMessages.h"
#include "requests/RequestFingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// The ledgers of three control processes before two entries, in a simulated fleet. The tests send
/// the messages of entries.
TEST_GROUP(CrashLedger)
{
    static constexpr auto controls = std::size_t{3};

    ControlFleet fleet_ = ControlFleet(1, controls, 2);
    std::vector<std::pair<EntryId, Json>> told_;
    std::vector<std::unique_ptr<CrashLedger>> ledgers_;
    std::string poison_ = partFingerprint("poison");
    std::string subject_ = partFingerprint("subject");

    auto setup()->void override
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        for (std::size_t index = 0; index < controls; ++index)
            ledgers_.push_back(makeLedger(index));
    }

    auto makeLedger(std::size_t index)->std::unique_ptr<CrashLedger>
    {
        return std::make_unique<CrashLedger>(
            fleet_.service(index),
            CrashLedgerHooks{[this](const EntryId &to, const std::string &method, Json params) {
                                 CHECK(method == crash_message::suspects);
                                 told_.emplace_back(to, std::move(params));
                             },
                             [](const Event &) {}, [this] { return fleet_.now(); },
                             [] { return WallTime(1h); }});
    }

    auto send(const char *method, const Json &params)->void
    {
        for (const auto &ledger : ledgers_) {
            if (ledger)
                CHECK(ledger->receive(method, params));
        }
    }

    auto report(const std::string &upstream, const std::vector<std::string> &fingerprints)->void
    {
        send(crash_message::report, encode(CrashReport{upstream, 1, fingerprints}));
    }

    auto runFor(Duration duration)->void
    {
        for (auto elapsed = Duration(0); elapsed < duration; elapsed += 50ms) {
            fleet_.run(50ms);
            for (const auto &ledger : ledgers_) {
                if (ledger)
                    ledger->tick();
            }
        }
    }

    /// Whether the last node, an entry, has to refuse \a fingerprint.
    auto isBlocked(const std::string &fingerprint)->bool
    {
        return fleet_.service(fleet_.size() - 1).readState([&](const FleetState &state) {
            return state.blocked_.contains(fingerprint);
        });
    }
};

TEST(CrashLedger, aCrash_report_tellsEveryEntryTheSuspectsOnce)
{
    report("u1", {poison_, subject_});
    runFor(1s);
    CHECK(told_.size() >= 2);
    const auto first = told_.size();
    for (const auto &[entry, suspects] : told_)
        LONGS_EQUAL(2, suspects.size());
    runFor(1s);
    LONGS_EQUAL(first, told_.size());
}

// Guards against upstreams that crash one after the other on one part of a prompt (BUDGET).
TEST(CrashLedger, twoCrashesWithOnePartInCommon_tick_blocksThePartAtEveryEntry)
{
    report("u1", {poison_, "request-1"});
    runFor(200ms);
    report("u2", {poison_, "request-2"});
    runFor(600ms);
    CHECK(isBlocked(poison_));
}

// Guards against a wrong guess: a sound part was beside the one to blame in each crash.
TEST(CrashLedger, anEntryHasServedASuspect_tick_blocksTheOtherOne)
{
    report("u1", {poison_, subject_});
    runFor(50ms);
    send(crash_message::served, Json{subject_});
    runFor(150ms);
    report("u2", {poison_, subject_});
    runFor(50ms);
    send(crash_message::served, Json{subject_});
    runFor(600ms);
    CHECK(isBlocked(poison_));
    CHECK_FALSE(isBlocked(subject_));
}

// Guards against evidence that is lost with the leader.
TEST(CrashLedger, theLeaderIsLostBetweenTwoCrashes_tick_blocksThePart)
{
    report("u1", {poison_, "request-1"});
    runFor(200ms);
    const auto leader = *fleet_.leader();
    ledgers_[leader].reset();
    fleet_.stop(leader);
    report("u2", {poison_, "request-2"});
    CHECK(fleet_.runUntil([&] { return fleet_.leader().has_value(); }));
    runFor(3s);
    CHECK(isBlocked(poison_));
}

TEST(CrashLedger, requestsWithABlockedPartStillCome_tick_keepsItBlocked)
{
    report("u1", {poison_});
    runFor(200ms);
    report("u2", {poison_});
    runFor(1s);
    for (auto i = 0; i < 30; ++i) {
        runFor(5s);
        send(crash_message::refused, Json{poison_});
        CHECK(isBlocked(poison_));
    }
}

TEST(CrashLedger, noRequestWithABlockedPartComesAnyMore_tick_unblocksIt)
{
    report("u1", {poison_});
    runFor(200ms);
    report("u2", {poison_});
    runFor(50s);
    CHECK(isBlocked(poison_));
    runFor(20s);
    CHECK_FALSE(isBlocked(poison_));
}

// Guards against a block that is forgotten because the leader changes or starts again.
TEST(CrashLedger, theLeaderStartsAgain_tick_forgetsNothingTooEarly)
{
    report("u1", {poison_});
    runFor(200ms);
    report("u2", {poison_});
    runFor(40s);
    const auto leader = *fleet_.leader();
    ledgers_[leader].reset();
    fleet_.stop(leader);
    CHECK(fleet_.runUntil([&] { return fleet_.leader().has_value(); }));
    fleet_.start(leader);
    ledgers_[leader] = makeLedger(leader);
    send(crash_message::refused, Json{poison_});
    runFor(40s);
    CHECK(isBlocked(poison_));
}

TEST(CrashLedger, messagesOfAnotherKindOrForm_receive_changeNothing)
{
    CHECK_FALSE(ledgers_[0]->receive("evidence.serves", Json::object()));
    for (const auto *method :
         {crash_message::report, crash_message::served, crash_message::refused}) {
        for (const auto &params : {Json(), Json(1), Json::object(), Json{1, Json::array()}})
            send(method, params);
    }
    runFor(1s);
    CHECK(told_.empty());
}
