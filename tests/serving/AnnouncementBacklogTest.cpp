#include "control/ControlFleet.h"
#include "serving/LeaseholderService.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// Upstreams that announce themselves to a control process while there is no leader, as after a
/// loss of most control processes.
TEST_GROUP(AnnouncementBacklog)
{
    static constexpr auto upstreams = 10;
    static constexpr auto rounds = 8;

    ControlFleet fleet_ = ControlFleet(1, 3, 0);
    std::shared_ptr<LeaseholderService> service_;

    auto setup()->void override
    {
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        auto hooks = LeaseholderHooks{};
        hooks.send_ = [](const EntryId &, const std::string &, const Json &) {};
        hooks.reportLoads_ = [](const LoadReport &) {};
        hooks.event_ = [](const Event &) {};
        hooks.now_ = [this] { return fleet_.now(); };
        service_ = std::make_shared<LeaseholderService>(fleet_.node(0).self_.id_, fleet_.service(0),
                                                        hooks);
    }

    auto announcement(int upstream, Sequence sequence)->Announcement
    {
        return Announcement{.upstream_ = UpstreamId("u" + std::to_string(upstream)),
                            .incarnation_ = 1,
                            .sequence_ = sequence,
                            .address_ = "10.0.0.1:80",
                            .zone_ = ZoneName("z"),
                            .pool_ = PoolName("pool"),
                            .epoch_ = sequence};
    }

    auto appliedIndex()->LogIndex
    {
        return fleet_.service(0).readState([](const FleetState &state) { return state.applied_; });
    }

    auto hasAllUpstreamsWithSequence(Sequence sequence)->bool
    {
        return fleet_.service(0).readState([&](const FleetState &state) {
            for (auto number = 0; number < upstreams; ++number) {
                const auto found = state.upstreams_.find(UpstreamId("u" + std::to_string(number)));
                if (found == state.upstreams_.end()
                    || found->second.announced_.sequence_ != sequence)
                    return false;
            }
            return true;
        });
    }
};

TEST(AnnouncementBacklog, announcementsWithoutALeader_leaderElected_onlyTheLatestAreProposed)
{
    fleet_.stop(1);
    fleet_.stop(2);
    fleet_.run(2s);
    for (auto round = 1; round <= rounds; ++round) {
        for (auto number = 0; number < upstreams; ++number)
            CHECK(service_->handleAnnouncement(announcement(number, round)));
        fleet_.run(500ms);
    }
    const auto indexBefore = appliedIndex();
    fleet_.start(1);
    fleet_.start(2);
    CHECK(fleet_.runUntil([this] { return hasAllUpstreamsWithSequence(rounds); }));
    fleet_.run(5s);
    // Two records for each upstream, of the first announcement without a leader and of the latest,
    // and those that restarted voters add.
    constexpr auto maxVoterRecords = 15;
    CHECK(appliedIndex() - indexBefore <= 2 * upstreams + maxVoterRecords);
}

TEST(AnnouncementBacklog, announcementWhileAProposalIsPending_proposalEnds_theLatestIsProposed)
{
    for (auto number = 0; number < upstreams; ++number) {
        CHECK(service_->handleAnnouncement(announcement(number, 1)));
        CHECK(service_->handleAnnouncement(announcement(number, 2)));
        CHECK(!service_->handleAnnouncement(announcement(number, 1)));
    }
    CHECK(fleet_.runUntil([this] { return hasAllUpstreamsWithSequence(2); }, 2s));
}
