/// \file
/// \brief Measures the request package over simulated time: fairness, goodput and budgets, and the
/// cost of its decisions in real time.
#include "measure/Report.h"

#include "requests/BudgetClient.h"
#include "requests/BudgetOwner.h"
#include "requests/EqualShareBudget.h"
#include "requests/FairQueue.h"
#include "requests/RequestDigest.h"
#include "requests/RequestMachine.h"
#include "requests/SuspicionTable.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace lycheereach;
using namespace std::chrono_literals;

namespace {

constexpr auto seed = std::uint64_t{20};
constexpr auto servers = std::size_t{10};
constexpr auto serviceTime = 100ms;
constexpr auto capacityPerSecond = 100.0;
constexpr auto allowed = 2s;
constexpr auto simulated = 120s;
constexpr auto tick = 1ms;
constexpr auto workspaces = 10;

using Figures = std::vector<Figure>;

/// What became of the requests of one workspace.
struct Tally
{
    int offered_ = 0;
    int good_ = 0;
    std::vector<double> waits_;
};

/// Requests at rates by workspace, a queue, and servers with a fixed service time.
class QueueSimulation
{
public:
    QueueSimulation(std::vector<double> rates, bool fair)
        : rates_(std::move(rates))
        , fair_(fair)
        , queue_(4096, allowed)
        , tallies_(rates_.size())
    { }

    auto run() -> std::vector<Tally>
    {
        const auto end = now_ + simulated;
        for (; now_ < end; now_ += tick) {
            arrive();
            serve();
        }
        return tallies_;
    }

private:
    auto arrive() -> void
    {
        for (auto i = std::size_t{0}; i < rates_.size(); ++i) {
            auto count = std::poisson_distribution<int>(rates_[i] / 1000)(random_);
            for (; count > 0; --count)
                add(i);
        }
    }

    auto add(std::size_t workspace) -> void
    {
        ++tallies_[workspace].offered_;
        const auto item = QueueItem{RequestId(std::to_string(workspace)),
                                    WorkspaceName(std::to_string(workspace)), 1, 5, now_ + allowed};
        if (fair_)
            queue_.push(item, now_);
        else
            plain_.push_back(item);
    }

    auto next() -> std::optional<QueueItem>
    {
        if (fair_) {
            queue_.removeExpired(now_);
            return queue_.pop(now_);
        }
        if (plain_.empty())
            return std::nullopt;
        const auto item = plain_.front();
        plain_.pop_front();
        return item;
    }

    auto serve() -> void
    {
        std::erase_if(busyUntil_, [this](const auto &until) { return until <= now_; });
        while (busyUntil_.size() < servers) {
            const auto item = next();
            if (!item)
                return;
            busyUntil_.push_back(now_ + serviceTime);
            queue_.recordRunTime(serviceTime);
            auto &tally = tallies_[std::stoul(item->workspace_.text())];
            const auto started = item->deadline_ - allowed;
            tally.waits_.push_back(
                std::chrono::duration<double, std::milli>(now_ - started).count());
            tally.good_ += now_ + serviceTime <= item->deadline_ ? 1 : 0;
        }
    }

    std::vector<double> rates_;
    bool fair_;
    FairQueue queue_;
    std::deque<QueueItem> plain_;
    std::vector<Tally> tallies_;
    std::vector<MonotonicTime> busyUntil_;
    MonotonicTime now_ = MonotonicTime(1h);
    std::mt19937_64 random_ = std::mt19937_64(seed);
};

/// The sum of \a tallies from \a first on.
auto sum(const std::vector<Tally> &tallies, std::size_t first) -> Tally
{
    auto total = Tally{};
    for (auto i = first; i < tallies.size(); ++i) {
        total.offered_ += tallies[i].offered_;
        total.good_ += tallies[i].good_;
        const auto &waits = tallies[i].waits_;
        total.waits_.insert(total.waits_.end(), waits.begin(), waits.end());
    }
    return total;
}

auto percentile(std::vector<double> values, double share) -> double
{
    std::sort(values.begin(), values.end());
    const auto index = share * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(index)];
}

auto goodShare(const Tally &tally) -> double
{
    return static_cast<double>(tally.good_) / tally.offered_;
}

auto measureFairness(Figures &figures) -> void
{
    auto rates = std::vector<double>(workspaces, 0.8 * capacityPerSecond / workspaces);
    rates[0] = 10 * capacityPerSecond / workspaces;
    const auto fair = QueueSimulation(rates, true).run();
    const auto plain = QueueSimulation(rates, false).run();
    const auto seconds = std::chrono::duration<double>(simulated).count();
    figures.push_back({"fairness: others' goodput", goodShare(sum(fair, 1)), "of offered, FIFO",
                       goodShare(sum(plain, 1))});
    figures.push_back({"fairness: others' p99 wait", percentile(sum(fair, 1).waits_, 0.99),
                       "ms, FIFO", percentile(sum(plain, 1).waits_, 0.99)});
    figures.push_back({"fairness: the greedy one's goodput", fair[0].good_ / seconds,
                       "per second, FIFO", plain[0].good_ / seconds});
}

auto measureGoodput(Figures &figures) -> void
{
    const auto seconds = std::chrono::duration<double>(simulated).count();
    for (const auto load : {0.5, 1.0, 2.0, 4.0}) {
        const auto rates = std::vector<double>(workspaces, load * capacityPerSecond / workspaces);
        const auto fair = sum(QueueSimulation(rates, true).run(), 0);
        const auto plain = sum(QueueSimulation(rates, false).run(), 0);
        const auto capacity = capacityPerSecond * seconds;
        figures.push_back({"goodput at " + std::to_string(load).substr(0, 3) + " of capacity",
                           fair.good_ / capacity, "of capacity, FIFO", plain.good_ / capacity});
    }
}

/// What one way of keeping budgets admitted.
struct BudgetTally
{
    double offered_ = 0;
    double admitted_ = 0;
    double messages_ = 0;
};

/// One workspace whose callers use the entries unequally, by Zipf's law.
class BudgetSimulation
{
public:
    BudgetSimulation(std::uint32_t entries, double perSecond, double load)
        : entries_(entries)
        , limits_{perSecond, perSecond}
        , load_(load)
    {
        auto weights = std::vector<double>{};
        for (auto i = 1U; i <= entries; ++i)
            weights.push_back(1 / std::pow(i, 1.1));
        entryOf_ = std::discrete_distribution<std::uint32_t>(weights.begin(), weights.end());
    }

    auto run(bool owned) -> BudgetTally
    {
        auto random = std::mt19937_64(seed);
        auto gates = std::vector<BudgetClient>(entries_,
                                               BudgetClient(WorkspaceName("w"), limits_, entries_));
        auto shares = std::vector<EqualShareBudget>(entries_, EqualShareBudget(limits_, entries_));
        auto tally = BudgetTally{};
        auto now = MonotonicTime(1h);
        auto gap = std::exponential_distribution<double>(limits_.ratePerSecond_ * load_);
        const auto end = now + simulated;
        while (now < end) {
            now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            const auto entry = entryOf_(random);
            tally.offered_ += 1;
            const auto admitted = owned ? ask(gates[entry], now, tally) : shares[entry].admit(now);
            tally.admitted_ += admitted ? 1 : 0;
        }
        return tally;
    }

private:
    auto ask(BudgetClient &gate, MonotonicTime now, BudgetTally &tally) -> bool
    {
        const auto admission = gate.admit(now);
        if (admission != BudgetAdmission::AskOwner)
            return admission == BudgetAdmission::Admit;
        tally.messages_ += 1;
        const auto grant = owner_.grant(gate.createTakeRequest(now), now);
        return gate.handleGrant(grant, now) == BudgetAdmission::Admit;
    }

    std::uint32_t entries_;
    BudgetLimits limits_;
    double load_;
    BudgetOwner owner_;
    std::discrete_distribution<std::uint32_t> entryOf_;
};

auto measureBudgets(Figures &figures) -> void
{
    const auto seconds = std::chrono::duration<double>(simulated).count();
    for (const auto entries : {9U, 350U}) {
        const auto perSecond = entries == 9 ? 100.0 : 1000.0;
        const auto budget = perSecond * (seconds + 1);
        for (const auto load : {0.8, 2.0}) {
            const auto owned = BudgetSimulation(entries, perSecond, load).run(true);
            const auto equal = BudgetSimulation(entries, perSecond, load).run(false);
            const auto name = std::to_string(entries) + " entries, load "
                + std::to_string(load).substr(0, 3) + ": ";
            const auto due = std::min(budget, owned.offered_);
            figures.push_back({"budgets, " + name + "admitted", owned.admitted_ / due,
                               "of what is due, equal shares", equal.admitted_ / due});
            figures.push_back({"budgets, " + name + "messages", owned.messages_ / owned.offered_,
                               "per request, equal shares", 0.0});
        }
    }
}

auto nanosecondsEach(int rounds, const std::function<void(int)> &work) -> double
{
    const auto start = std::chrono::steady_clock::now();
    for (auto i = 0; i < rounds; ++i)
        work(i);
    const auto taken = std::chrono::steady_clock::now() - start;
    return std::chrono::duration<double, std::nano>(taken).count() / rounds;
}

auto measureQueueCost(Figures &figures) -> void
{
    const auto now = MonotonicTime(1h);
    auto queue = FairQueue(4096, 1h);
    const auto push = [&](int i) {
        const auto workspace = WorkspaceName("workspace-" + std::to_string(i % workspaces));
        queue.push({RequestId("r"), workspace, 1, 5, now + 1h}, now);
    };
    for (auto i = 0; i < 500; ++i)
        push(i);
    const auto cost = nanosecondsEach(200000, [&](int i) {
        push(i);
        queue.pop(now);
    });
    figures.push_back({"cost: queue, push and pop with 500 waiting", cost, "ns", std::nullopt});
}

auto measureBudgetCost(Figures &figures) -> void
{
    auto gate = BudgetClient(WorkspaceName("w"), {1e6, 1e6}, 9);
    auto owner = BudgetOwner();
    const auto start = MonotonicTime(1h);
    const auto cost = nanosecondsEach(1000000, [&](int i) {
        const auto now = start + std::chrono::microseconds(i);
        if (gate.admit(now) == BudgetAdmission::AskOwner)
            gate.handleGrant(owner.grant(gate.createTakeRequest(now), now), now);
    });
    figures.push_back({"cost: budget, one request with its takes", cost, "ns", std::nullopt});
}

auto measureSuspicionCost(Figures &figures) -> void
{
    auto table = SuspicionTable();
    auto fingerprints = std::vector<std::string>{};
    for (auto i = 0; i < 40; ++i)
        fingerprints.push_back(sha256(std::to_string(i)));
    table.report({"g", 1, fingerprints}, MonotonicTime(1h));
    const auto body = std::string(2048, 'x');
    auto found = 0;
    const auto ruling = nanosecondsEach(1000000, [&](int i) {
        found += table.status(fingerprints[i % 40]) == SuspicionStatus::Suspect ? 1 : 0;
    });
    const auto digest = nanosecondsEach(
        100000, [&](int) { found += static_cast<int>(requestDigest("POST", "/", body).size()); });
    figures.push_back({"cost: suspicion, ruling with 40 suspects", ruling, "ns", std::nullopt});
    figures.push_back({"cost: digest of 2 KiB", digest, "ns", std::nullopt});
    if (found == 0)
        std::cout << "no suspects\n";
}

auto measureMachineCost(Figures &figures) -> void
{
    const auto now = MonotonicTime(1h);
    auto plan = RequestProperties{};
    plan.request_ = RequestId("request");
    plan.deadline_ = now + 1h;
    const auto cost = nanosecondsEach(200000, [&](int) {
        auto machine = RequestMachine(plan, {[] { return true; }, [] { return 1U; }});
        machine.handle(request_event::Start{}, now);
        const auto actions
            = machine.handle(request_event::PermitGranted{{"g", 1, "a"}, now + 1s}, now);
        const auto id = std::get<request_action::StartAttempt>(actions.front()).attempt_;
        const auto head = ResponseHead{200, "text/plain", plan.request_, id, std::nullopt};
        machine.handle(request_event::ResponseHeadReceived{id, head}, now);
        machine.handle(request_event::ResponseDataReceived{id, "answer"}, now);
        machine.handle(request_event::AttemptEnded{id, {}, Verdict::Ran, ""}, now);
    });
    figures.push_back({"cost: request machine, one whole request", cost, "ns", std::nullopt});
}

auto measureStreamCost(Figures &figures) -> void
{
    auto assembler = ResponseAssembler(ResponseFraming::ChatStream, RequestId("r"), AttemptId("a"));
    if (!assembler.readHead({200, "text/event-stream", RequestId("r"), AttemptId("a"), {}}))
        return;
    const auto cost = nanosecondsEach(100000, [&](int i) {
        assembler.readBytes("id: " + std::to_string(i + 1)
                            + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n");
    });
    figures.push_back({"cost: stream, one token", cost, "ns", std::nullopt});
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto figures = Figures{};
    measureFairness(figures);
    measureGoodput(figures);
    measureBudgets(figures);
    measureQueueCost(figures);
    measureBudgetCost(figures);
    measureSuspicionCost(figures);
    measureMachineCost(figures);
    measureStreamCost(figures);
    printFigures(figures);
    return writeFigures(figures, {argv + 1, argv + argc}) ? 0 : 1;
}
