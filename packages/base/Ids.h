/// \file
/// \brief The identifiers and counters that packages share.
#pragma once

#include "base/StrongId.h"

#include <cstdint>

namespace lycheereach {

/// An instance of lycheereach itself; every one of them is an entry.
using EntryId = StrongId<struct EntryIdTag>;
/// An engine or service instance that announces itself.
using UpstreamId = StrongId<struct UpstreamIdTag>;
/// A serving group.
using GroupId = StrongId<struct GroupIdTag>;
/// An availability zone.
using ZoneName = StrongId<struct ZoneNameTag>;
/// A set of instances that share a fast fabric.
using FabricDomain = StrongId<struct FabricDomainTag>;
/// A pool of engines that serve one model, or a plain service.
using PoolName = StrongId<struct PoolNameTag>;
/// A customer's workspace.
using WorkspaceName = StrongId<struct WorkspaceNameTag>;
/// An operator's operation, resent under the same id.
using OperationId = StrongId<struct OperationIdTag>;
/// A caller's request.
using RequestId = StrongId<struct RequestIdTag>;
/// One try at running a request.
using AttemptId = StrongId<struct AttemptIdTag>;
/// A caller's idempotency key, qualified by workspace and route.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

/// Grows with every start of a process.
using Incarnation = std::uint64_t;
/// Grows with every announcement of one incarnation.
using Sequence = std::uint64_t;
/// Grows with every membership change of a group.
using Epoch = std::uint64_t;
/// Refused by a receiver when older than one that it has seen.
using FencingNumber = std::uint64_t;
/// The version of a declaration or of the zones taken out.
using Version = std::uint64_t;
/// A position in the replicated log; the first is 1.
using LogIndex = std::uint64_t;
/// A term of the replicated log.
using Term = std::uint64_t;

} // namespace lycheereach
