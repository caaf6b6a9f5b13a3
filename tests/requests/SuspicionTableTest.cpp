#include "requests/SuspicionTable.h"

#include "requests/RequestFingerprint.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

TEST_GROUP(SuspicionTable)
{
    MonotonicTime now_ = MonotonicTime(1h);
    SuspicionTable table_;

    auto crash(const char *target, std::vector<std::string> fingerprints)->std::vector<std::string>
    {
        now_ += 2s;
        return table_.report({target, 1, std::move(fingerprints)}, now_);
    }
};

TEST(SuspicionTable, twoCrashesWithOneRequestInCommon_report_blocksIt)
{
    CHECK(crash("g1", {"poison", "a", "b"}).empty());
    CHECK(table_.status("a") == SuspicionStatus::Suspect);
    CHECK(crash("g2", {"c", "poison"}) == std::vector<std::string>{"poison"});
    CHECK(table_.status("poison") == SuspicionStatus::Blocked);
    for (const auto *otherRequest : {"a", "b", "c"})
        CHECK(table_.status(otherRequest) == SuspicionStatus::Clear);
}

TEST(SuspicionTable, reportsOfManyEntriesAboutOneCrash_report_countOnce)
{
    crash("g1", {"poison", "a"});
    CHECK(crash("g1", {"poison", "a"}).empty());
    CHECK(crash("g1", {"b"}).empty());
    CHECK_EQUAL(3U, table_.suspectCount());
    crash("g2", {"poison"});
    CHECK(crash("g1", {"late"}).empty());
    CHECK(crash("g3", {"poison", "beside"}).empty());
    CHECK_EQUAL(0U, table_.suspectCount());
}

TEST(SuspicionTable, twoRequestsInBothCrashes_report_blocksNone)
{
    crash("g1", {"a", "b"});
    CHECK(crash("g2", {"a", "b"}).empty());
    CHECK(crash("g3", {"a"}) == std::vector<std::string>{"a"});
    CHECK(table_.status("b") == SuspicionStatus::Clear);
}

TEST(SuspicionTable, crashesOfAnOutage_report_leaveNoSuspects)
{
    for (const auto *target : {"g1", "g2", "g3"})
        table_.report({target, 1, {std::string("of ") + target}}, now_);
    CHECK_EQUAL(0U, table_.suspectCount());
}

TEST(SuspicionTable, suspects_admit_oneAtATimeAtATarget)
{
    crash("g1", {"a", "b"});
    CHECK(table_.tryStart("g2", "a"));
    CHECK(!table_.tryStart("g2", "b"));
    CHECK(table_.tryStart("g2", "clear"));
    CHECK(table_.tryStart("g3", "b"));
    table_.finishRun("g2", "a");
    CHECK(table_.tryStart("g2", "b"));
    table_.setBlocked({"a"}, now_);
    CHECK(!table_.tryStart("g4", "a"));
    CHECK(table_.status("b") == SuspicionStatus::Clear);
}

TEST(SuspicionTable, suspicions_servedOrOld_areRemoved)
{
    crash("g1", {"a", "b"});
    table_.clearSuspicion("a");
    CHECK_EQUAL(1U, table_.suspectCount());
    table_.removeExpired(now_ + 11min);
    CHECK_EQUAL(0U, table_.suspectCount());
}

TEST(SuspicionTable, suspects_asManyAsAreKept_furtherOnesAreNotRecorded)
{
    auto fingerprints = std::vector<std::string>{};
    for (std::size_t index = 0; index < SuspicionTable::maxSuspects + 10; ++index)
        fingerprints.push_back("r" + std::to_string(index));
    crash("g1", fingerprints);
    CHECK_EQUAL(SuspicionTable::maxSuspects, table_.suspectCount());
}

/// Requests that are never alike and share one part, which crashes what runs them.
TEST_GROUP(PoisonPart)
{
    static constexpr auto settleTime = 200ms;

    MonotonicTime now_ = MonotonicTime(1h);
    SuspicionTable table_ = SuspicionTable(10min, settleTime);
    std::string poison_ = partFingerprint("poison");
    std::string subject_ = partFingerprint("subject");

    auto report(const std::string &target, std::vector<std::string> fingerprints)
        ->std::vector<std::string>
    {
        return table_.report({target, 1, std::move(fingerprints)}, now_);
    }

    auto settle()->std::vector<std::string>
    {
        now_ += settleTime;
        return table_.takeCauses(now_);
    }
};

// Guards against evidence at the grain of whole requests only: requests with one part in common,
// each new by its digest, crash one upstream after the other (BUDGET).
TEST(PoisonPart, twoCrashesWithOnePartInCommon_settled_blocksThePart)
{
    report("u1", {"request-1", poison_, partFingerprint("a")});
    CHECK(settle().empty());
    report("u2", {"request-2", poison_, partFingerprint("b")});
    CHECK(settle() == std::vector<std::string>{poison_});
    CHECK(table_.status(poison_) == SuspicionStatus::Blocked);
    CHECK_EQUAL(0U, table_.suspectCount());
}

TEST(PoisonPart, theSameRequestCrashesTwice_settled_blocksTheRequestAndNotItsParts)
{
    report("u1", {"request-1", poison_, subject_});
    report("u2", {"request-1", poison_, subject_});
    CHECK(settle() == std::vector<std::string>{"request-1"});
    CHECK(table_.status(poison_) == SuspicionStatus::Clear);
}

// Guards against entries that send each request once more: of unlike requests with one part in
// common each was found to be the cause of its two crashes, and the part never.
TEST(PoisonPart, aBlockedRequestHadIt_anotherRequestWithItCrashes_blocksThePart)
{
    report("u1", {"request-1", poison_, subject_});
    report("u2", {"request-1", poison_, subject_});
    CHECK(settle() == std::vector<std::string>{"request-1"});
    CHECK(table_.clearSuspicion(subject_));
    report("u3", {"request-2", poison_, subject_});
    CHECK(settle() == std::vector<std::string>{poison_});
    CHECK(table_.status(subject_) == SuspicionStatus::Clear);
}

TEST(PoisonPart, aBlockedRequestHadIt_servedOrLongAgo_anotherCrashBlocksNothing)
{
    report("u1", {"request-1", poison_, subject_});
    report("u2", {"request-1", poison_, subject_});
    CHECK(settle() == std::vector<std::string>{"request-1"});
    table_.clearSuspicion(subject_);
    report("u3", {"request-2", subject_});
    CHECK(settle().empty());
    now_ += 11min;
    table_.removeExpired(now_);
    report("u4", {"request-3", poison_});
    CHECK(settle().empty());
}

// Guards against a wrong guess: the entry that forwarded a sound request reports the second crash
// before the one that forwarded the request to blame.
TEST(PoisonPart, theReportsOfACrashComeInPieces_settled_blocksWhatAllOfThemHave)
{
    report("u1", {poison_, subject_});
    settle();
    CHECK(report("u2", {subject_}).empty());
    now_ += settleTime / 2;
    CHECK(report("u2", {poison_}).empty());
    table_.clearSuspicion(subject_);
    CHECK(settle() == std::vector<std::string>{poison_});
}

TEST(PoisonPart, aSecondCrashHasNotSettled_takeCauses_namesNone)
{
    report("u1", {poison_, subject_});
    now_ += settleTime;
    report("u2", {subject_});
    CHECK(table_.takeCauses(now_).empty());
    report("u2", {poison_});
    CHECK(settle().empty());
    CHECK(table_.status(subject_) == SuspicionStatus::Suspect);
}

// Guards against an outage that is seen where one part crashes several upstreams within a second.
TEST(PoisonPart, threeCrashesAtOnceThatShareAPart_settled_areNoOutage)
{
    for (const auto *target : {"u1", "u2", "u3"})
        report(target, {poison_, subject_, std::string("of ") + target});
    CHECK(settle().empty());
    table_.clearSuspicion(subject_);
    CHECK(table_.takeCauses(now_) == std::vector<std::string>{poison_});
}

TEST(PoisonPart, crashesWithNothingInCommon_settled_areAnOutage)
{
    for (const auto *target : {"u1", "u2", "u3"})
        report(target, {partFingerprint(target)});
    CHECK(settle().empty());
    CHECK_EQUAL(0U, table_.suspectCount());
}

TEST_GROUP(RequestFingerprint){};

TEST(RequestFingerprint, theLastPart_partFingerprints_hasNone)
{
    CHECK(partFingerprints({}).empty());
    CHECK(partFingerprints({"own"}).empty());
    const auto fingerprints = partFingerprints({"a", "b", "a", "own"});
    CHECK(fingerprints == (std::vector{partFingerprint("a"), partFingerprint("b")}));
    CHECK(isPartFingerprint(fingerprints.front()));
    CHECK_FALSE(isPartFingerprint(requestFingerprint("caller", "/x", "body")));
}

TEST(RequestFingerprint, aCallerSendsManyLongParts_partFingerprints_areBounded)
{
    const auto text = std::string(10000, 'x');
    auto ids = std::vector<std::string>{};
    for (auto index = 0; index < 500; ++index)
        ids.push_back(text + std::to_string(index));
    const auto fingerprints = partFingerprints({ids.begin(), ids.end()});
    CHECK_EQUAL(maxPartFingerprints, fingerprints.size());
    CHECK(fingerprints.front().size() < 64);
}

TEST_GROUP(PoisonRequest)
{
    static constexpr auto neighbourCount = 39;

    struct Target
    {
        Epoch epoch_ = 1;
        std::vector<std::string> running_;
    };

    MonotonicTime now_ = MonotonicTime(1h);
    SuspicionTable table_;
    std::map<std::string, Target> targets_;
    std::vector<std::string> waiting_;
    std::set<std::string> answered_;
    int crashes_ = 0;

    auto startWaitingRequests()->void
    {
        auto names = std::vector<std::string>{};
        for (const auto &[name, target] : targets_)
            names.push_back(name);
        auto later = std::vector<std::string>{};
        for (const auto &fingerprint : waiting_) {
            const auto suspicion = table_.status(fingerprint);
            if (suspicion == SuspicionStatus::Blocked)
                continue;
            const auto target = targetForSuspect(fingerprint, names);
            if (table_.tryStart(target, fingerprint))
                targets_[target].running_.push_back(fingerprint);
            else
                later.push_back(fingerprint);
        }
        waiting_ = later;
    }

    /// Crashes and reports each target that runs the poison request; the others answer all they
    /// run.
    auto runTargets()->void
    {
        now_ += 2s;
        for (auto &[name, target] : targets_) {
            auto running = std::vector<std::string>{};
            running.swap(target.running_);
            const auto poisoned = std::find(running.begin(), running.end(), "poison");
            for (const auto &fingerprint : running)
                table_.finishRun(name, fingerprint);
            if (poisoned == running.end()) {
                for (const auto &fingerprint : running)
                    table_.clearSuspicion(fingerprint);
                answered_.insert(running.begin(), running.end());
                continue;
            }
            ++crashes_;
            table_.report({name, target.epoch_++, running}, now_);
            waiting_.insert(waiting_.end(), running.begin(), running.end());
        }
    }

    /// Starts 40 requests on one target, one of them the poison request, whose caller sends it
    /// again in each round.
    auto simulate(int targets, std::uint64_t seed)->void
    {
        auto random = std::mt19937_64(seed);
        for (auto i = 0; i < targets; ++i)
            targets_["g" + std::to_string(i)] = {};
        auto &first = targets_["g" + std::to_string(random() % targets)].running_;
        for (auto i = 0; i < neighbourCount; ++i)
            first.push_back("neighbour-" + std::to_string(seed) + "-" + std::to_string(i));
        first.emplace_back("poison");
        for (auto round = 0; round < 2 * neighbourCount; ++round) {
            runTargets();
            waiting_.emplace_back("poison");
            waiting_.push_back("passer-by-" + std::to_string(round));
            std::shuffle(waiting_.begin(), waiting_.end(), random);
            startWaitingRequests();
        }
        runTargets();
    }
};

TEST(PoisonRequest, amongFortyInFlight_retried_causesAtMostTwoCrashesAndServesTheOthers)
{
    for (const auto targets : {2, 5, 65}) {
        for (auto seed = 0U; seed < 20; ++seed) {
            table_ = SuspicionTable();
            targets_.clear();
            waiting_.clear();
            answered_.clear();
            crashes_ = 0;
            simulate(targets, seed);
            CHECK(crashes_ <= 2);
            CHECK(table_.status("poison") == SuspicionStatus::Blocked);
            const auto served
                = std::count_if(answered_.begin(), answered_.end(), [](const auto &answered) {
                      return answered.starts_with("neighbour");
                  });
            CHECK_EQUAL(neighbourCount, served);
        }
    }
}
