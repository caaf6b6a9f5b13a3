#include "control/ControlFleet.h"
#include "serving/LeaseholderService.h"

#include <memory>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// An upstream that another control process watches, and the service of the leader.
TEST_GROUP(LostWatcher)
{
    ControlFleet fleet_ = ControlFleet(1, 3, 0);
    UpstreamId upstream_{"u"};
    std::size_t leader_ = 0;
    std::size_t watcher_ = 0;
    bool serves_ = false;
    std::shared_ptr<LeaseholderService> service_;

    auto setup()->void override
    {
        fleet_.settings_.entryLostTimeout_ = 3500ms;
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        leader_ = *fleet_.leader();
        watcher_ = (leader_ + 1) % fleet_.size();
        auto hooks = LeaseholderHooks{};
        hooks.send_ = [](const EntryId &, const std::string &, const Json &) {};
        hooks.reportLoads_ = [](const LoadReport &) {};
        hooks.servesWhileSilent_ = [this](const UpstreamId &) { return serves_; };
        hooks.watchesForLost_ = [this] { return fleet_.service(leader_).isLeader(); };
        hooks.event_ = [](const Event &) {};
        hooks.now_ = [this] { return fleet_.now(); };
        service_ = std::make_shared<LeaseholderService>(fleet_.node(leader_).self_.id_,
                                                        fleet_.service(leader_), hooks);
        const auto announced = Announcement{.upstream_ = upstream_,
                                            .incarnation_ = 1,
                                            .sequence_ = 1,
                                            .address_ = "10.0.0.1:80",
                                            .zone_ = ZoneName("z"),
                                            .pool_ = PoolName("pool")};
        fleet_.service(leader_).propose(
            Command(PutUpstream{announced, fleet_.node(watcher_).self_.id_}), nullptr);
        CHECK(fleet_.runUntil([this] { return find() != nullptr; }, 2s));
    }

    auto find()->const Upstream *
    {
        return fleet_.service(leader_).readState([&](const FleetState &state) {
            const auto found = state.upstreams_.find(upstream_);
            return found == state.upstreams_.end() ? nullptr : &found->second;
        });
    }

    /// Loses the watcher and runs until its entry and then its upstreams have been silent for
    /// their whole timeouts.
    auto loseWatcher()->void
    {
        fleet_.stop(watcher_);
        for (auto round = 0; round < 100; ++round) {
            fleet_.run(100ms);
            service_->stateChanged();
            service_->tick();
        }
    }
};

/// Guards against an upstream that was lost together with its watcher and stays in the state.
TEST(LostWatcher, theUpstreamIsSilentToo_run_marksItLost)
{
    loseWatcher();
    CHECK(find()->lost_);
}

TEST(LostWatcher, theUpstreamServesWhileSilent_run_keepsIt)
{
    serves_ = true;
    loseWatcher();
    CHECK_FALSE(find()->lost_);
}

TEST(LostWatcher, theWatcherIsAlive_run_keepsTheUpstream)
{
    fleet_.run(10s);
    service_->stateChanged();
    service_->tick();
    CHECK_FALSE(find()->lost_);
}
