/// \file
/// \brief The whole replicated state.
#pragma once

#include "base/Ids.h"
#include "state/Claim.h"
#include "state/Declaration.h"
#include "state/EntryRecord.h"
#include "state/Group.h"
#include "state/OperationOutcome.h"
#include "state/Upstream.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheereach {

/// Everything that the replicated log decides. Changed by StateMachine alone.
struct FleetState
{
    /// The last command applied.
    LogIndex applied_ = 0;
    Version version_ = 0;
    /// The last accepted operation or change of a group's lease: an entry takes new work only when
    /// it has applied this record.
    LogIndex requiredIndex_ = 0;
    /// The last record that withdrew an upstream at its own word: it waits for an answer until all
    /// entries follow.
    LogIndex withdrawnIndex_ = 0;
    Declaration declaration_;
    /// The operator's revision of a published declaration; 0 when it was applied.
    std::uint64_t revision_ = 0;
    /// The document that a published declaration was made from.
    std::string source_;
    std::set<ZoneName> zonesOut_;
    /// Counts the accepted changes of zonesOut_.
    Version zonesVersion_ = 0;
    std::map<EntryId, EntryRecord> entries_;
    std::map<UpstreamId, Upstream> upstreams_;
    /// Dissolved groups are left out.
    std::map<GroupId, Group> groups_;
    /// The group of each instance that is in one.
    std::map<UpstreamId, GroupId> groupOf_;
    std::map<IdempotencyKey, Claim> claims_;
    /// In the order of acceptance; the oldest ones beyond the retention are dropped.
    std::vector<OperationOutcome> operations_;
    /// Fingerprints of requests that kill upstreams.
    std::map<std::string, std::int64_t> blocked_;
    FencingNumber lastFencing_ = 0;
    /// Whether a caller's request has come since the fleet was founded.
    bool hasTraffic_ = false;

    auto operator==(const FleetState &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("applied", &FleetState::applied_),
                          field("version", &FleetState::version_),
                          field("requiredIndex", &FleetState::requiredIndex_),
                          optionalField("withdrawnIndex", &FleetState::withdrawnIndex_),
                          field("declaration", &FleetState::declaration_),
                          optionalField("revision", &FleetState::revision_),
                          optionalField("source", &FleetState::source_),
                          field("zonesOut", &FleetState::zonesOut_),
                          field("zonesVersion", &FleetState::zonesVersion_),
                          field("entries", &FleetState::entries_),
                          field("upstreams", &FleetState::upstreams_),
                          field("groups", &FleetState::groups_),
                          field("groupOf", &FleetState::groupOf_),
                          field("claims", &FleetState::claims_),
                          field("operations", &FleetState::operations_),
                          field("blocked", &FleetState::blocked_),
                          field("lastFencing", &FleetState::lastFencing_),
                          optionalField("hasTraffic", &FleetState::hasTraffic_)};
    }
};

/// Whether \a upstream is to get no new work, at its own word or an operator's.
auto isWithdrawn(const Upstream &upstream) -> bool;
/// Whether \a upstream lives and is not withdrawn.
auto mayTakeWork(const Upstream &upstream) -> bool;
/// Whether \a upstream takes its part in \a group, by its own last announcement.
auto memberAgrees(const Group &group, const Upstream &upstream) -> bool;
/// Whether every member of \a group is there and agrees.
auto allMembersAgree(const FleetState &state, const Group &group) -> bool;
/// The engines that \a pool draws from.
auto enginesOf(const Pool &pool) -> const PoolName &;
/// The profile of the upstreams of \a name.
auto findProfile(const Declaration &declaration, const PoolName &name) -> const UpstreamProfile *;
/// The pool of that name.
auto findPool(const Declaration &declaration, const PoolName &name) -> const Pool *;
/// The plain service of that name.
auto findService(const Declaration &declaration, const PoolName &name) -> const Service *;
/// Whether \a zone gets no new work.
auto isZoneOut(const FleetState &state, const ZoneName &zone) -> bool;
/// The tunables for an upstream of \a pool in \a zone. Of the exceptions that match, the one with
/// more keys in its match wins; `upstream` counts more than `pool` and `pool` more than `zone`.
auto policyFor(const Declaration &declaration, const ZoneName &zone, const PoolName &pool,
               const UpstreamId &upstream) -> Policy;

} // namespace lycheereach
