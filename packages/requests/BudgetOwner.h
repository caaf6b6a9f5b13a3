/// \file
/// \brief The buckets that one entry owns for the whole fleet.
#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "requests/BudgetBucket.h"
#include "requests/BudgetTake.h"

#include <map>
#include <optional>
#include <vector>

namespace lycheereach {

/// The buckets that one entry owns for the whole fleet. Not thread-safe.
class BudgetOwner
{
public:
    /// Grants as much of \a take as the bucket covers.
    auto grant(const BudgetTake &take, MonotonicTime now) -> BudgetGrant;
    /// Forgets buckets that were last taken from before \a before; they are full again.
    auto forgetIdle(MonotonicTime before) -> void;
    [[nodiscard]] auto size() const -> std::size_t { return buckets_.size(); }

private:
    std::map<WorkspaceName, BudgetBucket> buckets_;
};

/// The entry that owns the bucket of \a workspace, by rendezvous hashing.
auto budgetOwnerOf(const WorkspaceName &workspace, const std::vector<EntryId> &entries)
    -> std::optional<EntryId>;

} // namespace lycheereach
