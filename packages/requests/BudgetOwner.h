/// \file
/// \brief The workspace budgets that one entry owns for the whole fleet.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "requests/BudgetTakeRequest.h"
#include "requests/TokenBucket.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// The token buckets of the workspaces whose budget one entry owns for the whole fleet. Not
/// thread-safe.
class BudgetOwner
{
public:
    /// Grants as many requests of \a take as the bucket has tokens for.
    auto grant(const BudgetTakeRequest &take, MonotonicTime now) -> BudgetGrant;
    /// Removes buckets that were last taken from before \a before, by when they are full again.
    auto removeIdle(MonotonicTime before) -> void;
    [[nodiscard]] auto size() const -> std::size_t { return buckets_.size(); }

private:
    std::map<WorkspaceName, TokenBucket> buckets_;
};

/// The entry out of \a entries that owns the budget of \a workspace, by rendezvous hashing; not set
/// when there is none.
auto budgetOwnerOf(const WorkspaceName &workspace, const std::vector<EntryId> &entries)
    -> std::optional<EntryId>;

} // namespace lycheereach
