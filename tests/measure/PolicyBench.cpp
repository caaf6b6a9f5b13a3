/// \file
/// \brief Measures the placement, repair and permit policies side by side on fixed seeds.
///
/// usage: measure_policy [--json FILE]

#include "groups/FakeFleet.h"
#include "groups/Placement.h"
#include "measure/PermitLoad.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <numeric>

using namespace lycheereach;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto seeds = std::uint64_t{3};

/// Prints one line of a table and keeps it for the JSON file.
class Report
{
public:
    auto add(const std::string &table, const std::string &way,
             const std::vector<std::pair<std::string, double>> &figures) -> void
    {
        std::printf("%-12s %-40s", table.c_str(), way.c_str());
        auto row = Json{{"table", table}, {"way", way}};
        for (const auto &[name, value] : figures) {
            std::printf("  %s %.4g", name.c_str(), value);
            row[name] = value;
        }
        std::printf("\n");
        std::fflush(stdout);
        rows_.push_back(row);
    }

    auto write(const std::string &path) const -> void { std::ofstream(path) << rows_.dump(2); }

private:
    Json rows_ = Json::array();
};

/// Sixty-five runners in eight fabric domains over three zones.
auto deployment(const std::vector<std::string> &zones, std::uint64_t seed) -> FleetOptions
{
    auto plan = FleetOptions{};
    plan.seed_ = seed;
    plan.zones_ = zones;
    plan.domainSizes_ = {12, 11, 10, 8, 8, 8, 8};
    plan.entryCount_ = 9;
    plan.engine_.loadTime_ = seconds(20);
    return plan;
}

const auto deployments = std::map<std::string, std::vector<std::string>>{
    {"maule", {"talca", "curico", "linares"}}, {"cairo-east", {"ce-a", "ce-b", "ce-c"}}};

/// Dissolves a group instead of giving it a spare.
auto withoutRepair(const FleetState &state, const Command &command) -> std::optional<Command>
{
    const auto *form = std::get_if<FormGroup>(&command);
    if (form == nullptr || form->previousEpoch_ == 0)
        return command;
    const auto &group = state.groups_.at(form->id_);
    if (group.members_ == form->members_)
        return command;
    return SetGroupPhase{form->id_, form->previousEpoch_, GroupPhase::Dissolved};
}

/// Group-seconds that \a fleet serves less than \a groups in \a duration.
auto downtime(FakeFleet &fleet, std::size_t groups, Duration duration) -> double
{
    constexpr auto step = milliseconds(50);
    auto missing = 0.0;
    for (auto end = fleet.now() + duration; fleet.now() < end;) {
        fleet.run(step);
        const auto serving = fleet.servingGroups();
        missing += static_cast<double>(groups - std::min(groups, serving)) * 0.05;
    }
    return missing;
}

struct RepairWay
{
    const char *name_;
    bool deliversSpareLoads_;
    bool repair_;
};

/// Whether an instance outside of every group in the domain of \a member has weights.
auto hasLoadedSpare(const FleetState &state, const Announcement &member) -> bool
{
    return std::any_of(state.upstreams_.begin(), state.upstreams_.end(), [&](const auto &item) {
        const auto &announced = item.second.announced_;
        return announced.fabricDomain_ == member.fabricDomain_ && !item.second.lost_
            && !state.groupOf_.contains(item.first) && !announced.loaded_.empty();
    });
}

/// Silence of 1.5 to 2 s since the last announcement, then the load of the weights where no spare
/// has them.
auto leastDowntime(bool isLoaded) -> double
{
    return isLoaded ? 1.75 : 21.75;
}

/// Members of domains with a spare are lost one by one; each comes back after a minute.
auto measureDowntime(Report &report) -> void
{
    for (const auto &way : {RepairWay{"spare loaded ahead, same domain", true, true},
                            RepairWay{"spare of the same domain", false, true},
                            RepairWay{"dissolve and form anew", false, false}}) {
        for (const auto &[name, zones] : deployments) {
            auto lost = 0.0;
            auto least = 0.0;
            auto losses = 0;
            for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
                auto fleet = FakeFleet(deployment(zones, seed));
                fleet.deliversSpareLoads_ = way.deliversSpareLoads_;
                if (!way.repair_)
                    fleet.rewriteCommand_ = withoutRepair;
                fleet.run(seconds(240));
                const auto groups = fleet.servingGroups();
                for (auto loss = 0; loss < 4; ++loss, ++losses) {
                    // The domains that have spares are d1 and d2, with instances 12 to 32.
                    auto engine = 12 + fleet.random(21);
                    while (!fleet.state().groupOf_.contains(
                        fleet.engines()[engine].announced().upstream_))
                        engine = 12 + fleet.random(21);
                    const auto &member = fleet.engines()[engine].announced();
                    least += leastDowntime(hasLoadedSpare(fleet.state(), member));
                    fleet.kill(engine);
                    lost += downtime(fleet, groups, seconds(60));
                    fleet.restart(engine);
                    fleet.run(seconds(60));
                }
            }
            report.add("downtime", name + ": " + way.name_,
                       {{"groupSecondsPerLoss", lost / losses}, {"floor", least / losses}});
        }
    }
}

/// The most accelerators that groups of \a size can use of instances sorted by accelerators.
auto mostUsed(const std::vector<std::uint32_t> &sorted, std::size_t size) -> std::uint32_t
{
    auto best = std::vector<std::uint32_t>(sorted.size() + 1, 0);
    for (auto count = size; count <= sorted.size(); ++count) {
        const auto group
            = best[count - size] + sorted[count - 1] * static_cast<std::uint32_t>(size);
        best[count] = std::max(best[count - 1], group);
    }
    return best.back();
}

using Place = std::function<std::optional<PlacedGroup>(const std::vector<FreeInstance> &)>;

auto firstFit(const std::vector<FreeInstance> &free) -> std::optional<PlacedGroup>
{
    auto domains = std::map<FabricDomain, std::vector<UpstreamId>>{};
    for (const auto &instance : free) {
        auto &members = domains[instance.domain_];
        members.push_back(instance.upstream_);
        if (members.size() == 4)
            return PlacedGroup{instance.zone_, members, false};
    }
    return std::nullopt;
}

/// Accelerators used by the groups that \a place makes of \a free.
auto usedBy(const Place &place, std::vector<FreeInstance> free) -> std::uint32_t
{
    auto used = std::uint32_t{0};
    while (const auto group = place(free)) {
        auto least = std::numeric_limits<std::uint32_t>::max();
        std::erase_if(free, [&](const FreeInstance &instance) {
            const auto &members = group->members_;
            if (std::find(members.begin(), members.end(), instance.upstream_) == members.end())
                return false;
            least = std::min(least, instance.accelerators_);
            return true;
        });
        used += least * static_cast<std::uint32_t>(group->members_.size());
    }
    return used;
}

/// Domains of 8 to 12 instances, some with half the accelerators.
auto measureStranded(Report &report) -> void
{
    constexpr auto fleets = 200;
    for (const auto mixed : {false, true}) {
        auto random = std::mt19937_64(7);
        auto total = 0.0;
        auto most = 0.0;
        auto best = 0.0;
        auto first = 0.0;
        for (auto fleet = 0; fleet < fleets; ++fleet) {
            auto free = std::vector<FreeInstance>{};
            for (auto domain = 0; domain < 7; ++domain) {
                auto sorted = std::vector<std::uint32_t>{};
                for (auto count = 8 + random() % 5; count > 0; --count) {
                    const auto accelerators = mixed && random() % 3 == 0 ? 4U : 8U;
                    sorted.push_back(accelerators);
                    total += accelerators;
                    free.push_back({UpstreamId(std::to_string(free.size())), ZoneName("z"),
                                    FabricDomain(std::to_string(domain)), accelerators, false,
                                    false});
                }
                std::sort(sorted.rbegin(), sorted.rend());
                most += mostUsed(sorted, 4);
            }
            best += usedBy([](const auto &rest) { return placeGroup(rest, 4); }, free);
            first += usedBy(firstFit, free);
        }
        const auto kind = std::string(mixed ? "mixed accelerators: " : "equal accelerators: ");
        report.add("stranded", kind + "best fit",
                   {{"percent", 100 * (1 - best / total)}, {"floor", 100 * (1 - most / total)}});
        report.add("stranded", kind + "first fit",
                   {{"percent", 100 * (1 - first / total)}, {"floor", 100 * (1 - most / total)}});
    }
}

/// Adds the share within the deadline and the 95th percentile from \a begin to \a end.
auto addService(Report &report, const std::string &way, const FakeFleet &fleet, MonotonicTime begin,
                MonotonicTime end) -> void
{
    auto waits = std::vector<double>{};
    auto total = 0.0;
    for (const auto &request : fleet.startOutcomes()) {
        if (request.arrivedAt_ < begin || request.arrivedAt_ >= end)
            continue;
        ++total;
        if (request.waitTime_)
            waits.push_back(static_cast<double>(toMilliseconds(*request.waitTime_)));
    }
    std::sort(waits.begin(), waits.end());
    const auto rank = waits.size() * 95 / 100;
    report.add(
        "zone", way,
        {{"requests", total},
         {"percentAnswered", total > 0 ? 100.0 * static_cast<double>(waits.size()) / total : 0},
         {"p95Ms", waits.empty() ? 0 : waits[std::min(rank, waits.size() - 1)]}});
}

/// A zone leaves under load for two minutes and returns, with its engines running or restarted. The
/// groups of the other zones carry 320 requests in a second, those of all zones 600.
auto measureZone(Report &report, double rate) -> void
{
    for (const auto &[name, zones] : deployments) {
        for (const auto restarts : {false, true}) {
            auto plan = deployment(zones, 1);
            plan.requestRate_ = rate;
            auto fleet = FakeFleet(plan);
            fleet.run(seconds(300));
            const auto out = fleet.now();
            fleet.setZone(zones[0], true);
            fleet.run(seconds(60));
            for (auto engine = std::size_t{0}; restarts && engine < fleet.engines().size();
                 ++engine) {
                if (fleet.isInZone(engine, zones[0]))
                    fleet.restart(engine);
            }
            fleet.run(seconds(60));
            const auto in = fleet.now();
            const auto startedBefore = fleet.startedIn(zones[0]);
            fleet.setZone(zones[0], false);
            fleet.run(seconds(120));
            const auto load = " at " + std::to_string(static_cast<int>(rate)) + "/s";
            const auto way = name + load + (restarts ? ", restarted" : ", kept");
            addService(report, way + ", before", fleet, out - seconds(60), out);
            addService(report, way + ", out", fleet, out, in);
            addService(report, way + ", return", fleet, in, in + seconds(110));
            report.add(
                "zone", way + ", started in the returned zone",
                {{"requests", static_cast<double>(fleet.startedIn(zones[0]) - startedBefore)},
                 {"violations", static_cast<double>(fleet.violations().size())}});
        }
    }
}

enum class Gate { Shares, TwoChoices };

/// What cold targets carry when every entry has more work than they can take.
auto coldLoad(Gate gate, std::uint64_t seed) -> std::pair<double, double>
{
    constexpr auto targets = coldTargets;
    constexpr auto entries = coldEntries;
    constexpr auto capacity = coldCapacity;
    constexpr auto share = std::max<std::uint32_t>(1, capacity / entries);
    constexpr auto reportEvery = 500;
    constexpr auto steps = 60000;
    auto random = std::mt19937_64(seed);
    auto running = std::vector<std::uint32_t>(targets, 0);
    auto reported = running;
    auto own = std::vector<std::vector<std::uint32_t>>(entries, running);
    auto ends = std::multimap<int, std::pair<std::size_t, std::size_t>>{};
    auto carried = 0.0;
    auto excess = 0.0;
    for (auto now = 0; now < steps; ++now) {
        for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
            const auto [entry, target] = ends.begin()->second;
            --running[target];
            --own[entry][target];
        }
        if (now % reportEvery == 0)
            reported = running;
        const auto entry = random() % entries;
        auto target = random() % targets;
        const auto other = random() % targets;
        auto allowed = false;
        switch (gate) {
        case Gate::Shares:
            allowed = own[entry][target] < share;
            break;
        case Gate::TwoChoices:
            target = reported[target] <= reported[other] ? target : other;
            allowed = reported[target] < capacity;
            break;
        }
        if (allowed) {
            ++running[target];
            ++own[entry][target];
            const auto over = running[target] > capacity;
            ends.emplace(now + 200 + static_cast<int>(random() % 400), std::pair(entry, target));
            carried += over ? 0 : 1;
            excess += over ? 1 : 0;
        }
    }
    return {carried / 60, excess / 60};
}

auto addCold(Report &report, const char *name,
             const std::function<std::pair<double, double>(std::uint64_t)> &load) -> void
{
    auto carried = 0.0;
    auto excess = 0.0;
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        const auto [within, over] = load(seed);
        carried += within / seeds;
        excess += over / seeds;
    }
    report.add("cold", name, {{"withinLimitPerSecond", carried}, {"aboveLimitPerSecond", excess}});
}

auto measureCold(Report &report) -> void
{
    addCold(report, "permits of a leaseholder",
            [](std::uint64_t seed) { return PermitLoad(seed).run(); });
    addCold(report, "equal static shares",
            [](std::uint64_t seed) { return coldLoad(Gate::Shares, seed); });
    addCold(report, "two choices on lagging reports",
            [](std::uint64_t seed) { return coldLoad(Gate::TwoChoices, seed); });
}

auto microseconds(int repeats, const std::function<void(int)> &action) -> double
{
    const auto begin = std::chrono::steady_clock::now();
    for (auto repeat = 0; repeat < repeats; ++repeat)
        action(repeat);
    const auto spent = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::micro>(spent).count() / repeats;
}

/// The time of one decision at \a runners in domains of ten.
auto measureCost(Report &report, std::size_t runners) -> void
{
    auto plan = deployment(deployments.at("maule"), 1);
    plan.domainSizes_ = std::vector<std::size_t>(runners / 10, 10);
    plan.entryCount_ = 9;
    plan.engine_.loadTime_ = milliseconds(100);
    plan.policy_.loadsAtOnce_ = 2000;
    auto fleet = FakeFleet(plan);
    fleet.run(seconds(12));
    const auto &state = fleet.state();
    const auto holder = EntryId("e0");
    auto now = fleet.now();
    auto chooser = GroupChooser(ZoneName("talca"), std::mt19937_64(1));
    chooser.update(state);
    for (const auto &[id, group] : state.groups_)
        chooser.updateLoad({id, group.leaseNumber_, 3, 16, false});
    auto permits = PermitTable(holder);
    permits.update(state, now);
    auto watch = GroupHealthMonitor(holder);
    watch.update(state, now);
    auto held = std::vector<GroupId>{};
    for (const auto &load : permits.loads()) {
        held.push_back(load.group_);
        permits.setServing(load.group_, true);
    }
    const auto index = PrefixIndex(1);
    const auto request = GroupChoiceRequest{PoolName("llm"), {}, 5, {}};
    const auto choose
        = microseconds(2000, [&](int) { static_cast<void>(chooser.choose(request, index)); });
    const auto permit = microseconds(20000, [&](int repeat) {
        const auto &group = held[static_cast<std::size_t>(repeat) % held.size()];
        const auto answer = permits.grantPermit(group, holder, AttemptId("r"), now);
        if (const auto *got = std::get_if<Permit>(&answer)) {
            permits.requestStarted(group, got->leaseNumber_, got->number_, now);
            permits.requestEnded(group, got->leaseNumber_, got->number_, PermitOutcome::Completed,
                                 milliseconds(100), now);
        }
    });
    auto announcement = state.upstreams_.at(state.groups_.at(held.front()).members_[0]).announced_;
    const auto hear = microseconds(20000, [&](int) {
        ++announcement.sequence_;
        watch.handleAnnouncement(state, announcement, now);
        permits.handleAnnouncement(announcement, now);
    });
    auto planner = GroupPlanner([](const Event &) {});
    auto live = std::set<EntryId>{};
    for (const auto &[id, entry] : state.entries_)
        live.insert(id);
    const auto inputs = GroupPlannerInputs{now, live, [](const GroupId &) { return false; }};
    const auto plans = microseconds(50, [&](int) { planner.plan(state, inputs); });
    report.add("cost", std::to_string(runners) + " runners",
               {{"groups", static_cast<double>(state.groups_.size())},
                {"chooseUs", choose},
                {"permitUs", permit},
                {"announcementUs", hear},
                {"planUs", plans}});
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    auto report = Report{};
    measureStranded(report);
    measureCold(report);
    for (const auto runners : {std::size_t{65}, std::size_t{325}, std::size_t{1300}})
        measureCost(report, runners);
    for (const auto rate : {300.0, 420.0})
        measureZone(report, rate);
    measureDowntime(report);
    if (arguments.size() == 2 && arguments[0] == "--json")
        report.write(arguments[1]);
    return 0;
}
