/// \file
/// \brief What entries see of upstreams that control does not hear.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "serving/ServingEvidenceHooks.h"

#include <map>
#include <optional>
#include <string>

namespace lycheereach {

class ControlService;

/// Whether entries still get answers of upstreams that control does not hear. An upstream may be
/// cut off from control alone; a first member whose streams move shows that all members of its
/// group live. Costs no message while control hears all upstreams. Thread-safe; guarded by one lock
/// of rank LockRank::Requests.
class ServingEvidence
{
public:
    static constexpr auto queryMethod = "evidence.query";
    static constexpr auto answerMethod = "evidence.serves";

    ServingEvidence(ControlService &control, ServingEvidenceHooks hooks);

    /// Whether an entry got a part of an answer of \a upstream, or of the first member of its
    /// group, a short time ago; asks the entries anew when that may have changed.
    auto serves(const UpstreamId &upstream) -> bool;
    /// Asks the entries about \a upstream.
    auto ask(const UpstreamId &upstream) -> void;
    /// Whether an entry is known to have got a part of an answer since \a since.
    [[nodiscard]] auto hasServedSince(const UpstreamId &upstream, MonotonicTime since) const
        -> bool;
    /// Takes a message of a peer; true when it was an answer for this object.
    auto receive(const std::string &method, const Json &params) -> bool;

private:
    struct Seen
    {
        std::optional<MonotonicTime> askedAt_;
        std::optional<MonotonicTime> servedAt_;
    };

    /// The upstream that gets the requests of \a upstream's group.
    [[nodiscard]] auto receiverOf(const UpstreamId &upstream) const -> UpstreamId;
    /// Whether \a receiver was not asked about a short time ago; notes that it is now.
    auto takeTurn(const UpstreamId &receiver) -> bool;

    ControlService &control_;
    ServingEvidenceHooks hooks_;
    mutable RankedMutex mutex_;
    std::map<UpstreamId, Seen> seen_;
};

} // namespace lycheereach
