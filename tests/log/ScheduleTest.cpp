#include "log/SimulatedCluster.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

constexpr auto stepsPerSchedule = 250;

#ifdef __SANITIZE_ADDRESS__
constexpr auto defaultScheduleCount = std::uint64_t(200);
#else
constexpr auto defaultScheduleCount = std::uint64_t(1500);
#endif

/// The number of seeds, from 1 on, that each test runs; LYCHEEREACH_SCHEDULES sets it.
auto scheduleCount() -> std::uint64_t
{
    const auto *text = std::getenv("LYCHEEREACH_SCHEDULES");
    return text == nullptr ? defaultScheduleCount : std::strtoull(text, nullptr, 10);
}

auto injectFault(SimulatedCluster &cluster, std::size_t node) -> void
{
    auto &target = cluster.node(node);
    switch (cluster.random_() % 11) {
    case 0:
        cluster.crash(node);
        break;
    case 1:
        target.stepsUntilCrash_ = static_cast<int>(cluster.random_() % 12);
        break;
    case 2:
    case 3:
        cluster.isolate(node);
        break;
    case 4:
        target.paused_ = target.replica_ != nullptr;
        break;
    case 5:
        target.disk_->full_ = !target.disk_->full_;
        break;
    case 9:
        target.disk_->syncFails_ = !target.disk_->syncFails_;
        break;
    case 10:
        target.disk_->snapshotFails_ = !target.disk_->snapshotFails_;
        break;
    case 6:
        cluster.maximumDelay_ = std::chrono::milliseconds(1 + cluster.random_() % 300);
        break;
    default:
        cluster.reconnectAll();
        for (std::size_t i = 0; i < cluster.size(); ++i)
            cluster.node(i).paused_ = false;
    }
}

auto toggleVoter(SimulatedCluster &cluster, std::size_t leader, const EntryId &name) -> void
{
    const auto voters = cluster.replica(leader).voters();
    if (!voters.containsName(name))
        cluster.changeVoters(leader, name, std::nullopt);
    else if (voters.voters_.size() > 3)
        cluster.changeVoters(leader, std::nullopt, name);
}

auto runStep(SimulatedCluster &cluster, bool changesVoters) -> void
{
    cluster.step(std::chrono::milliseconds(1 + cluster.random_() % 30));
    const auto node = cluster.random_() % cluster.size();
    const auto randomPercent = cluster.random_() % 100;
    if (randomPercent < 8)
        injectFault(cluster, node);
    else if (randomPercent < 16)
        cluster.start(node);
    for (std::size_t i = 0; randomPercent < 60 && i < cluster.size(); ++i) {
        auto &candidate = cluster.node(i);
        if (!candidate.replica_ || candidate.paused_
            || candidate.replica_->role() != ReplicaRole::Leader)
            continue;
        cluster.propose(i);
        if (changesVoters && randomPercent < 20 && candidate.replica_)
            toggleVoter(cluster, i, cluster.node(node).name_);
    }
}

auto runSchedule(std::uint64_t seed, std::size_t nodes, std::size_t voters, bool changesVoters)
    -> std::string
{
    auto cluster = SimulatedCluster(seed, nodes, voters);
    cluster.dropPercent_ = seed % 3 * 10;
    cluster.duplicatePercent_ = seed % 2 * 20;
    for (std::size_t i = 0; i < nodes; ++i)
        cluster.start(i);
    for (auto step = 0; step < stepsPerSchedule; ++step) {
        runStep(cluster, changesVoters);
        const auto losesDisk = !changesVoters && step == stepsPerSchedule / 2 && seed % 4 == 0;
        if (losesDisk && cluster.acknowledged() > 0)
            cluster.loseDisk(seed / 4 % voters);
    }
    cluster.heal();
    return cluster.violations();
}

} // namespace

TEST_GROUP(LogSchedules){
    auto setup()->void override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
auto teardown() -> void override
{
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}

static auto runSchedules(std::size_t nodes, std::size_t voters, bool changesVoters) -> void
{
    auto violations = std::string{};
    for (std::uint64_t seed = 1; seed <= scheduleCount() && violations.empty(); ++seed)
        violations = runSchedule(seed, nodes, voters, changesVoters);
    STRCMP_EQUAL("", violations.c_str());
}
}
;

TEST(LogSchedules, threeVotersUnderRandomFaults_run_keepEveryInvariant)
{
    runSchedules(3, 3, false);
}

TEST(LogSchedules, fiveVotersUnderRandomFaults_run_keepEveryInvariant)
{
    runSchedules(5, 5, false);
}

TEST(LogSchedules, changingVotersUnderRandomFaults_run_keepEveryInvariant)
{
    runSchedules(5, 3, true);
}
