#include "requests/FleetFake.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

constexpr auto maxSteps = 40U;

auto propertiesOf(ResponseFraming framing, const char *request) -> RequestProperties
{
    auto properties = RequestProperties{};
    properties.request_ = RequestId(request);
    properties.repeatable_ = framing != ResponseFraming::HttpBody;
    properties.idempotencyKey_ = properties.repeatable_ ? IdempotencyKey() : IdempotencyKey("key");
    properties.digest_ = "digest";
    properties.fingerprints_ = {"digest"};
    properties.framing_ = framing;
    return properties;
}

} // namespace

TEST_GROUP(RequestMatrix)
{
    std::string scenario_;
    int completeFirstReplies_ = 0;
    int scenarioCount_ = 0;

    auto checkReply(const FleetFake &fleet, std::size_t entry, const RequestProperties &properties)
        const->void
    {
        const auto *text = scenario_.c_str();
        const auto mayLackReply = !fleet.alive(entry) || fleet.callerGone(entry);
        const auto reply = fleet.reply(entry);
        CHECK_TEXT(reply || mayLackReply, text);
        if (fleet.alive(entry))
            CHECK_TEXT(fleet.finished(entry), text);
        if (!reply)
            return;
        if (reply->whole_)
            STRCMP_EQUAL_TEXT(FleetFake::answerTo(properties).c_str(), reply->text_.c_str(), text);
        else
            CHECK_TEXT(reply->text_.find("second reply") == std::string::npos, text);
        if (reply->verdict_ == Verdict::NotRun)
            CHECK_EQUAL_TEXT(0U, reply->runsAtReply_, text);
        CHECK_TEXT(reply->whole_ == (reply->verdict_ == Verdict::Ran), text);
    }

    auto runScenario(ResponseFraming framing, Fault fault, std::uint32_t step)->bool
    {
        scenario_ = "kind " + std::to_string(static_cast<int>(framing)) + " fault "
            + std::to_string(static_cast<int>(fault)) + " step " + std::to_string(step);
        auto fleet = FleetFake(fault, step);
        const auto properties = propertiesOf(framing, "request-1");
        const auto deadline = fleet.now() + 2s;
        const auto first = fleet.send(properties);
        checkReply(fleet, first, properties);
        const auto reply = fleet.reply(first);
        const auto latest = std::max(deadline, fleet.pausedUntil(first));
        if (reply)
            CHECK_TEXT(reply->at_ <= latest, scenario_.c_str());
        if (reply && reply->verdict_ == Verdict::NotRun)
            CHECK_EQUAL_TEXT(0U, fleet.runCount(FleetFake::nameOf(properties)), scenario_.c_str());
        if (fleet.alive(first))
            CHECK_EQUAL_TEXT(0, fleet.outstandingPermits(), scenario_.c_str());
        CHECK_EQUAL_TEXT(0U, fleet.lateDispatches(), scenario_.c_str());
        const auto retryProperties = propertiesOf(framing, "request-2");
        const auto second = fleet.send(retryProperties);
        checkReply(fleet, second, retryProperties);
        if (!properties.repeatable_)
            CHECK_TEXT(fleet.runCount("key") <= 1, scenario_.c_str());
        const auto faultsThatMayFail = std::set{Fault::CrashEntry, Fault::CallerGone,
                                                Fault::PauseEntry, Fault::RefusePermit};
        if (properties.repeatable_ && !faultsThatMayFail.contains(fault))
            CHECK_TEXT(reply && reply->whole_, scenario_.c_str());
        completeFirstReplies_ += reply && reply->whole_ ? 1 : 0;
        ++scenarioCount_;
        return fleet.injected();
    }

    auto runMatrix(ResponseFraming framing)->void
    {
        for (auto fault = 0; fault < static_cast<int>(Fault::Count); ++fault) {
            for (auto step = 0U; step < maxSteps; ++step) {
                if (!runScenario(framing, static_cast<Fault>(fault), step))
                    break;
            }
        }
    }
};

TEST(RequestMatrix, aRequestThatMustNotBeRepeated_everyFaultAtEveryStep_runsAtMostOnce)
{
    runMatrix(ResponseFraming::HttpBody);
    CHECK(completeFirstReplies_ * 2 > scenarioCount_);
}

TEST(RequestMatrix, aStream_everyFaultAtEveryStep_isWholeOrAnError)
{
    runMatrix(ResponseFraming::ChatStream);
    CHECK(completeFirstReplies_ * 4 > scenarioCount_ * 3);
}

TEST(RequestMatrix, aWholeBody_everyFaultAtEveryStep_isWholeOrAnError)
{
    runMatrix(ResponseFraming::ChatBody);
    CHECK(completeFirstReplies_ * 4 > scenarioCount_ * 3);
}
