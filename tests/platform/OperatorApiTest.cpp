#include "platform/OperatorApi.h"
#include "control/ControlFleet.h"
#include "transport/KeptReply.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::platform;
using namespace std::chrono_literals;

/// An operator who sends a configuration, and sends it again to this or another process when the
/// answer does not come in time.
TEST_GROUP(RepeatedConfiguration)
{
    ControlFleet fleet_ = ControlFleet(1, 3, 0);
    PlatformSettings settings_;
    std::vector<std::unique_ptr<OperatorApi>> apis_;
    bool mayBeLate_ = false;

    auto setup()->void override
    {
        settings_.zones_ = {ZoneName("z")};
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        fleet_.run(5s);
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            apis_.push_back(std::make_unique<OperatorApi>(
                fleet_.service(index), settings_, [this] { return mayBeLate_; },
                [](const Event &) {}));
    }

    auto leader()->std::size_t
    {
        return *fleet_.leader();
    }
    auto follower()->std::size_t
    {
        return (leader() + 1) % 3;
    }

    auto publish(std::size_t node, int revision)->std::shared_ptr<KeptReply>
    {
        auto reply = std::make_shared<KeptReply>();
        const auto body = R"({"version":)" + std::to_string(revision) + R"(,"routes":[{"name":")"
            + std::string(4096, 'r')
            + R"(","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":800,"service":"app"}],)"
              R"("services":[{"name":"app"}]})";
        CHECK(apis_[node]->handle(HttpRequest{"PUT", "/-/config", {}, body}, reply));
        return reply;
    }

    static auto isAcknowledged(const KeptReply &reply)->bool
    {
        return reply.answer_ && reply.answer_->status_ == 200;
    }

    auto appliedIndex(std::size_t node)->LogIndex
    {
        return fleet_.service(node).readState(
            [](const FleetState &state) { return state.applied_; });
    }
};

// Guards against a leader that is late because each repetition of a configuration becomes a record,
// which every process decodes.
TEST(RepeatedConfiguration, sentAgainWhileItIsCommitted_isAppendedOnceAndAnsweredTwice)
{
    const auto before = appliedIndex(leader());
    const auto replies = std::vector{publish(leader(), 7), publish(leader(), 7)};
    fleet_.run(200ms);
    for (const auto &reply : replies)
        CHECK(isAcknowledged(*reply));
    LONGS_EQUAL(before + 1, appliedIndex(leader()));
}

// As above, where the repetition reaches another process.
TEST(RepeatedConfiguration, sentToAnotherProcessWhileItIsCommitted_isAppendedOnceAndAnsweredTwice)
{
    const auto before = appliedIndex(leader());
    const auto replies = std::vector{publish(follower(), 7), publish(leader(), 7)};
    fleet_.run(500ms);
    for (const auto &reply : replies)
        CHECK(isAcknowledged(*reply));
    LONGS_EQUAL(before + 1, appliedIndex(leader()));
}

// As above, after the configuration is committed.
TEST(RepeatedConfiguration, sentAgainAfterItIsCommitted_isAnsweredAtOnceWithoutARecord)
{
    publish(leader(), 7);
    fleet_.run(500ms);
    const auto before = appliedIndex(leader());
    CHECK(isAcknowledged(*publish(follower(), 7)));
    CHECK(isAcknowledged(*publish(leader(), 6)));
    fleet_.run(500ms);
    LONGS_EQUAL(before, appliedIndex(leader()));
}

// Guards against a configuration that is acknowledged before it is committed.
TEST(RepeatedConfiguration, notYetKnownToBeCommitted_isNotAnsweredByAProcessThatIsCutOff)
{
    fleet_.isolatedNodes_.insert(follower());
    const auto reply = publish(follower(), 7);
    fleet_.run(1s);
    CHECK(!reply->answer_);
}

// Guards against an order that shares the outcome of an equal one although an opposite one follows
// that, so that it is acknowledged and undone.
TEST(RepeatedConfiguration, aZoneTakenOutBroughtInAndTakenOutAgain_whileAllArePending_isOut)
{
    auto replies = std::vector<std::shared_ptr<KeptReply>>{};
    for (const auto *method : {"POST", "DELETE", "POST"}) {
        replies.push_back(std::make_shared<KeptReply>());
        CHECK(apis_[leader()]->handle(HttpRequest{method, "/-/evacuations/z", {}, ""},
                                      replies.back()));
    }
    fleet_.run(500ms);
    for (const auto &reply : replies)
        CHECK(isAcknowledged(*reply));
    const auto isOut = fleet_.service(leader()).readState(
        [](const FleetState &state) { return isZoneOut(state, ZoneName("z")); });
    CHECK(isOut);
}

/// Guards against an order that was read long after it was sent and undoes a newer one.
TEST(RepeatedConfiguration, anOrderAboutAZoneAfterAPauseOfTheProcess_isRefusedAndChangesNothing)
{
    mayBeLate_ = true;
    const auto reply = std::make_shared<KeptReply>();
    CHECK(apis_[leader()]->handle(HttpRequest{"POST", "/-/evacuations/z", {}, ""}, reply));
    fleet_.run(1s);
    CHECK(reply->answer_ && reply->answer_->status_ == 503);
    const auto isOut = fleet_.service(leader()).readState(
        [](const FleetState &state) { return isZoneOut(state, ZoneName("z")); });
    CHECK_FALSE(isOut);
}
