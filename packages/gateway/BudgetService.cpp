#include "gateway/BudgetService.h"

#include "control/ControlService.h"
#include "gateway/BudgetMessages.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace lycheereach {

namespace {

constexpr auto ownerTimeout = std::chrono::milliseconds(300);
constexpr auto bucketIdleTimeout = std::chrono::hours(1);

auto budgetLimits(const Workspace &workspace) -> BudgetLimits
{
    const auto perSecond = *workspace.requestsPerSecond_;
    return BudgetLimits{perSecond, workspace.burst_.value_or(std::max(1.0, perSecond))};
}

} // namespace

BudgetService::BudgetService(EntryId self, ControlService &control, Send send, MonotonicClock clock)
    : self_(std::move(self))
    , control_(control)
    , send_(std::move(send))
    , clock_(std::move(clock))
    , mutex_(LockRank::Requests)
{ }

auto BudgetService::updatedClient(const Workspace &workspace, std::uint32_t entryCount)
    -> BudgetClient &
{
    const auto limits = budgetLimits(workspace);
    auto &client = budgetClients_.try_emplace(workspace.name_, workspace.name_, limits, entryCount)
                       .first->second;
    client.setLimits(limits, entryCount);
    return client;
}

auto BudgetService::admit(const Workspace &workspace, AdmissionCallback done) -> void
{
    if (!workspace.requestsPerSecond_) {
        done(true, Duration::zero());
        return;
    }
    const auto entryCount = std::max<std::size_t>(1, control_.liveEntries().size());
    auto admission = BudgetAdmission::Admit;
    auto retryAfter = Duration::zero();
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = clock_();
        auto &client = updatedClient(workspace, static_cast<std::uint32_t>(entryCount));
        admission = client.admit(now);
        retryAfter = client.retryAfter(now);
    }
    if (admission == BudgetAdmission::AskOwner)
        askOwner(workspace, std::move(done));
    else
        done(admission == BudgetAdmission::Admit, retryAfter);
}

auto BudgetService::askOwner(const Workspace &workspace, AdmissionCallback done) -> void
{
    const auto liveEntries = control_.liveEntries();
    const auto owner = budgetOwnerOf(workspace.name_, {liveEntries.begin(), liveEntries.end()});
    auto message = BudgetTakeMessage{};
    auto ownGrant = std::optional<BudgetGrant>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = clock_();
        message = BudgetTakeMessage{++lastTakeNumber_,
                                    budgetClients_.at(workspace.name_).createTakeRequest(now)};
        pendingTakes_[message.number_]
            = PendingTake{workspace.name_, std::move(done), now + ownerTimeout};
        if (owner == self_)
            ownGrant = owner_.grant(message.take_, now);
    }
    if (ownGrant || !owner)
        finishTake(message.number_, ownGrant);
    else
        send_(*owner, "budget.take", encode(message));
}

auto BudgetService::finishTake(std::uint64_t number, const std::optional<BudgetGrant> &grant)
    -> void
{
    auto done = AdmissionCallback{};
    auto admission = BudgetAdmission::Refuse;
    auto retryAfter = Duration::zero();
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = pendingTakes_.find(number);
        if (found == pendingTakes_.end())
            return;
        const auto now = clock_();
        auto &client = budgetClients_.at(found->second.workspace_);
        admission = grant ? client.handleGrant(*grant, now) : client.handleOwnerTimeout(now);
        retryAfter = client.retryAfter(now);
        done = std::move(found->second.done_);
        pendingTakes_.erase(found);
    }
    done(admission == BudgetAdmission::Admit, retryAfter);
}

auto BudgetService::receive(const EntryId &from, const std::string &method, const Json &params)
    -> bool
{
    if (method == "budget.take") {
        if (const auto message = decode<BudgetTakeMessage>(params)) {
            auto answer = BudgetGrantMessage{.number_ = message->number_};
            {
                const auto lock = std::scoped_lock(mutex_);
                answer.grant_ = owner_.grant(message->take_, clock_());
            }
            send_(from, "budget.grant", encode(answer));
        }
        return true;
    }
    if (method == "budget.grant") {
        if (const auto message = decode<BudgetGrantMessage>(params))
            finishTake(message->number_, message->grant_);
        return true;
    }
    return false;
}

auto BudgetService::tick() -> void
{
    auto timedOut = std::vector<std::uint64_t>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = clock_();
        owner_.removeIdle(now - bucketIdleTimeout);
        for (const auto &[number, take] : pendingTakes_) {
            if (take.timeoutAt_ <= now)
                timedOut.push_back(number);
        }
    }
    for (const auto number : timedOut)
        finishTake(number, std::nullopt);
}

} // namespace lycheereach
