#include "forward/CrashWatch.h"

#include "requests/CrashMessages.h"
#include "requests/CrashReport.h"
#include "requests/RequestFingerprint.h"
#include "state/FleetState.h"
#include "transport/WorkerPool.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// The CrashWatch of one entry. The tests answer its probes in place of upstreams.
TEST_GROUP(CrashWatch)
{
    struct SentMessage
    {
        std::string method_;
        Json params_;
    };

    MonotonicTime now_{100s};
    bool isLeaving_ = false;
    std::vector<std::function<void(std::optional<bool>)>> probes_;
    std::vector<SentMessage> sent_;
    std::shared_ptr<CrashWatch> watch_;
    ForwardTarget target_{UpstreamId("u1"), 7, "127.0.0.1:1", PoolName("p"), {}};
    std::string poison_ = partFingerprint("poison");
    std::string subject_ = partFingerprint("subject");

    auto setup()->void override
    {
        watch_ = std::make_shared<CrashWatch>(CrashWatchHooks{
            .probe_ =
                [this](const ForwardTarget &, std::function<void(std::optional<bool>)> done) {
                    probes_.push_back(std::move(done));
                },
            .after_ = [](Duration, const std::function<void()> &) { return nullptr; },
            .isLeaving_ = [this](const ForwardTarget &) { return isLeaving_; },
            .send_ =
                [this](const std::string &method, Json params) {
                    sent_.push_back({method, std::move(params)});
                },
            .event_ = [](const Event &) {},
            .now_ = [this] { return now_; }});
    }

    auto tickLater()->void
    {
        now_ += 50ms;
        watch_->tick();
    }

    auto block(const std::string &fingerprint)->void
    {
        auto state = FleetState{};
        state.blocked_[fingerprint] = 1;
        watch_->update(state);
    }
};

TEST(CrashWatch, connectionsBreakAndTheUpstreamHasEnded_tick_reportsWhatWasInFlightOnce)
{
    watch_->recordBroken(target_, {poison_, subject_, "request-1"});
    watch_->recordBroken(target_, {subject_, "request-2"});
    LONGS_EQUAL(1, probes_.size());
    tickLater();
    CHECK(sent_.empty());
    probes_[0](true);
    LONGS_EQUAL(1, sent_.size());
    CHECK(sent_[0].method_ == crash_message::report);
    const auto report = decode<CrashReport>(sent_[0].params_);
    CHECK(report->target_ == "u1");
    LONGS_EQUAL(7, report->epoch_);
    LONGS_EQUAL(4, report->fingerprints_.size());
    tickLater();
    LONGS_EQUAL(1, sent_.size());
}

// Guards against evidence from a connection that was reset while its upstream lives.
TEST(CrashWatch, theUpstreamLives_tick_reportsNothing)
{
    watch_->recordBroken(target_, {poison_});
    probes_[0](false);
    tickLater();
    CHECK(sent_.empty());
}

TEST(CrashWatch, theUpstreamLeavesAsPlanned_tick_reportsNothing)
{
    isLeaving_ = true;
    watch_->recordBroken(target_, {poison_});
    probes_[0](true);
    tickLater();
    CHECK(sent_.empty());
}

TEST(CrashWatch, theProbeHasNoResult_tick_reportsNothing)
{
    watch_->recordBroken(target_, {poison_});
    for (auto i = 0; i < 100; ++i)
        tickLater();
    CHECK(sent_.empty());
    probes_[0](true);
    CHECK(sent_.empty());
}

TEST(CrashWatch, aPartWithWhichARequestEndedWell_recordBroken_isNotReported)
{
    watch_->recordServed({subject_});
    watch_->recordBroken(target_, {poison_, subject_});
    now_ += 50ms;
    probes_[0](true);
    const auto report = decode<CrashReport>(sent_.at(0).params_);
    CHECK(report->fingerprints_ == std::vector<std::string>{poison_});
}

// Guards against a part that crashes upstreams behind a whole event and is taken for proven.
TEST(CrashWatch, anUndelimitedAnswerEndsAndTheUpstreamHasEnded_probe_reportsItsParts)
{
    watch_->recordUndelimited(target_, {poison_, "request-1"});
    LONGS_EQUAL(1, probes_.size());
    CHECK_FALSE(watch_->arePartsProven({poison_}));
    probes_[0](true);
    tickLater();
    CHECK(sent_.at(0).method_ == crash_message::report);
    LONGS_EQUAL(2, decode<CrashReport>(sent_[0].params_)->fingerprints_.size());
    CHECK_FALSE(watch_->arePartsProven({poison_}));
}

TEST(CrashWatch, anUndelimitedAnswerEndsAndTheUpstreamLives_probe_provesItsParts)
{
    watch_->receive(crash_message::suspects, Json{subject_});
    watch_->recordUndelimited(target_, {subject_, "request-1"});
    probes_[0](false);
    CHECK(watch_->arePartsProven({subject_}));
    tickLater();
    LONGS_EQUAL(1, sent_.size());
    CHECK(sent_[0].method_ == crash_message::served);
    CHECK(sent_[0].params_ == Json{subject_});
}

TEST(CrashWatch, anUndelimitedAnswerEndsAndNothingAnswersTheProbe_probe_neitherProvesNorReports)
{
    watch_->recordUndelimited(target_, {subject_});
    probes_[0](std::nullopt);
    tickLater();
    CHECK(sent_.empty());
    CHECK_FALSE(watch_->arePartsProven({subject_}));
}

// Guards against a probe for each answer of an upstream that ends all with their connections.
TEST(CrashWatch, allPartsAreProven_recordUndelimited_sendsNoProbe)
{
    watch_->recordServed({subject_});
    watch_->recordUndelimited(target_, {subject_, "request-1"});
    watch_->recordUndelimited(target_, {"request-2"});
    CHECK(probes_.empty());
}

// Guards against a part that is proven by a probe from before the crash.
TEST(CrashWatch, anotherUndelimitedAnswerEndsBehindTheProbe_probe_isRepeatedForThatOne)
{
    watch_->recordUndelimited(target_, {subject_});
    watch_->recordUndelimited(target_, {poison_});
    LONGS_EQUAL(1, probes_.size());
    probes_[0](false);
    CHECK(watch_->arePartsProven({subject_}));
    CHECK_FALSE(watch_->arePartsProven({poison_}));
    LONGS_EQUAL(2, probes_.size());
    probes_[1](true);
    tickLater();
    LONGS_EQUAL(1, sent_.size());
    CHECK(decode<CrashReport>(sent_[0].params_)->fingerprints_
          == std::vector<std::string>{poison_});
}

// Guards against a retry that crashes a second upstream with the same request.
TEST(CrashWatch, aPartThatIsNotProven_arePartsProven_isFalseUntilItIsServed)
{
    CHECK(watch_->arePartsProven({"request-1"}));
    watch_->recordServed({subject_});
    CHECK_FALSE(watch_->arePartsProven({subject_, poison_, "request-1"}));
    CHECK(watch_->arePartsProven({subject_, "request-1"}));
    now_ += 61s;
    CHECK_FALSE(watch_->arePartsProven({subject_}));
}

TEST(CrashWatch, suspectsOfControl_receive_areClearedWhereTheyAreProven)
{
    watch_->recordServed({subject_});
    CHECK(watch_->receive(crash_message::suspects, Json{poison_, subject_}));
    LONGS_EQUAL(1, sent_.size());
    CHECK(sent_[0].method_ == crash_message::served);
    CHECK(sent_[0].params_ == Json{subject_});
    CHECK(watch_->findSuspect({subject_}).empty());
    CHECK(watch_->findSuspect({subject_, poison_}) == poison_);
    watch_->recordServed({poison_});
    CHECK(watch_->findSuspect({poison_}).empty());
    tickLater();
    CHECK(sent_.back().params_ == Json{poison_});
}

TEST(CrashWatch, aBlockedPart_isBlocked_tellsControlNowAndThenThatItStillComes)
{
    CHECK_FALSE(watch_->isBlocked({poison_}));
    block(poison_);
    CHECK_FALSE(watch_->isBlocked({subject_}));
    for (auto i = 0; i < 40; ++i) {
        CHECK(watch_->isBlocked({subject_, poison_}));
        tickLater();
    }
    LONGS_EQUAL(1, sent_.size());
    CHECK(sent_[0].method_ == crash_message::refused);
    now_ += 5s;
    CHECK(watch_->isBlocked({poison_}));
    tickLater();
    LONGS_EQUAL(2, sent_.size());
    watch_->update(FleetState{});
    CHECK_FALSE(watch_->isBlocked({poison_}));
}

TEST(CrashWatch, messagesOfAnotherKindOrForm_receive_areNotTaken)
{
    CHECK_FALSE(watch_->receive("evidence.query", Json::object()));
    for (const auto &params : {Json(1), Json::object(), Json{1, 2}, Json{std::string(1000, 'x')}}) {
        CHECK(watch_->receive(crash_message::suspects, params));
        CHECK(watch_->findSuspect({std::string(1000, 'x')}).empty());
    }
    CHECK(sent_.empty());
}

// Guards against memory that callers use up with parts that are never alike.
TEST(CrashWatch, aCallerSendsPartsThatAreNeverAlike_recordServed_keepsABoundedNumber)
{
    for (auto i = 0; i < 5000; ++i) {
        now_ += 1ms;
        watch_->recordServed({partFingerprint(std::to_string(i))});
    }
    CHECK_FALSE(watch_->arePartsProven({partFingerprint("0")}));
    CHECK(watch_->arePartsProven({partFingerprint("4999")}));
}
