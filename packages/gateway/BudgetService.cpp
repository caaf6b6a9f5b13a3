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
constexpr auto idleBucket = std::chrono::hours(1);

auto numbersOf(const Workspace &workspace) -> BudgetLimits
{
    const auto perSecond = *workspace.requestsPerSecond_;
    return BudgetLimits{perSecond, workspace.burst_.value_or(std::max(1.0, perSecond))};
}

} // namespace

BudgetService::BudgetService(EntryId self, ControlService &control, Send send, MonotonicClock now)
    : self_(std::move(self))
    , control_(control)
    , send_(std::move(send))
    , now_(std::move(now))
    , mutex_(LockRank::Requests)
{ }

auto BudgetService::gateOf(const Workspace &workspace, std::uint32_t entries) -> BudgetClient &
{
    const auto numbers = numbersOf(workspace);
    auto &gate
        = gates_.try_emplace(workspace.name_, workspace.name_, numbers, entries).first->second;
    gate.setLimits(numbers, entries);
    return gate;
}

auto BudgetService::admit(const Workspace &workspace, AdmissionCallback done) -> void
{
    if (!workspace.requestsPerSecond_) {
        done(true, Duration::zero());
        return;
    }
    const auto entries = std::max<std::size_t>(1, control_.liveEntries().size());
    auto admission = BudgetAdmission::Admit;
    auto retryAfter = Duration::zero();
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = now_();
        auto &gate = gateOf(workspace, static_cast<std::uint32_t>(entries));
        admission = gate.admit(now);
        retryAfter = gate.retryAfter(now);
    }
    if (admission == BudgetAdmission::AskOwner)
        ask(workspace, std::move(done));
    else
        done(admission == BudgetAdmission::Admit, retryAfter);
}

auto BudgetService::ask(const Workspace &workspace, AdmissionCallback done) -> void
{
    const auto live = control_.liveEntries();
    const auto owner = budgetOwnerOf(workspace.name_, {live.begin(), live.end()});
    auto message = NumberedTake{};
    auto own = std::optional<BudgetGrant>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = now_();
        message = NumberedTake{++lastNumber_, gates_.at(workspace.name_).createTakeRequest(now)};
        asking_[message.number_] = Asking{workspace.name_, std::move(done), now + ownerTimeout};
        if (owner == self_)
            own = owner_.grant(message.take_, now);
    }
    if (own || !owner)
        granted(message.number_, own);
    else
        send_(*owner, "budget.take", encode(message));
}

auto BudgetService::granted(std::uint64_t number, const std::optional<BudgetGrant> &grant) -> void
{
    auto done = AdmissionCallback{};
    auto admission = BudgetAdmission::Refuse;
    auto retryAfter = Duration::zero();
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = asking_.find(number);
        if (found == asking_.end())
            return;
        const auto now = now_();
        auto &gate = gates_.at(found->second.workspace_);
        admission = grant ? gate.handleGrant(*grant, now) : gate.handleOwnerTimeout(now);
        retryAfter = gate.retryAfter(now);
        done = std::move(found->second.done_);
        asking_.erase(found);
    }
    done(admission == BudgetAdmission::Admit, retryAfter);
}

auto BudgetService::receive(const EntryId &from, const std::string &method, const Json &params)
    -> bool
{
    if (method == "budget.take") {
        if (const auto message = decode<NumberedTake>(params)) {
            auto answer = NumberedGrant{.number_ = message->number_};
            {
                const auto lock = std::scoped_lock(mutex_);
                answer.grant_ = owner_.grant(message->take_, now_());
            }
            send_(from, "budget.grant", encode(answer));
        }
        return true;
    }
    if (method == "budget.grant") {
        if (const auto message = decode<NumberedGrant>(params))
            granted(message->number_, message->grant_);
        return true;
    }
    return false;
}

auto BudgetService::tick() -> void
{
    auto late = std::vector<std::uint64_t>{};
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = now_();
        owner_.removeIdle(now - idleBucket);
        for (const auto &[number, asking] : asking_) {
            if (asking.giveUpAt_ <= now)
                late.push_back(number);
        }
    }
    for (const auto number : late)
        granted(number, std::nullopt);
}

} // namespace lycheereach
