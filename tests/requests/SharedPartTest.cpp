#include "requests/FleetFake.h"
#include "requests/RequestFingerprint.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

/// Requests of which no two are alike, at a simulated fleet of three upstreams.
TEST_GROUP(SharedPart)
{
    /// With two crashes one request is found to be the cause, and with the next one the part that
    /// it shares with another.
    static constexpr auto maxCrashes = 3U;

    FleetFake fleet_ = FleetFake(Fault::None, 0);
    std::uint32_t requestCount_ = 0;
    std::string poison_ = partFingerprint("poison");
    std::string subject_ = partFingerprint("subject");

    auto setup()->void override
    {
        fleet_.crashOn(poison_);
    }

    /// Sends a new request with \a parts.
    auto send(const std::vector<std::string> &parts)->FakeReply
    {
        auto properties = RequestProperties{};
        properties.request_ = RequestId("request-" + std::to_string(++requestCount_));
        properties.digest_ = requestFingerprint("", "", properties.request_.text());
        properties.framing_ = ResponseFraming::ChatStream;
        properties.fingerprints_ = parts;
        properties.fingerprints_.insert(properties.fingerprints_.begin(), properties.digest_);
        return fleet_.reply(fleet_.send(properties)).value();
    }
};

// Guards against evidence at the grain of whole requests only: requests with one part in common,
// each new by its digest, crash one upstream after the other (BUDGET).
TEST(SharedPart, unlikeRequestsShareAPartThatCrashesUpstreams_send_blocksThePart)
{
    for (auto i = 0; i < 10; ++i) {
        send({poison_, partFingerprint("own " + std::to_string(i))});
        CHECK(send({subject_}).whole_);
    }
    CHECK(fleet_.upstreamCrashes() <= maxCrashes);
    CHECK(fleet_.suspicions().status(poison_) == SuspicionStatus::Blocked);
    CHECK(send({poison_}).verdict_ == Verdict::NotRun);
}

// Guards against a wrong guess: sound requests share another part with those to blame.
TEST(SharedPart, soundRequestsShareAnotherPartWithThem_send_areServed)
{
    for (auto i = 0; i < 10; ++i) {
        send({subject_, poison_});
        CHECK(send({subject_}).whole_);
    }
    CHECK(fleet_.upstreamCrashes() <= maxCrashes);
    CHECK(fleet_.suspicions().status(poison_) == SuspicionStatus::Blocked);
    CHECK(fleet_.suspicions().status(subject_) == SuspicionStatus::Clear);
}
