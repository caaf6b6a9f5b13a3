/// \file
/// \brief Asks entries whether upstreams that are silent towards control still serve.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"
#include "base/RankedMutex.h"
#include "base/Time.h"
#include "serving/ServingEvidenceHooks.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace lycheereach {

class ControlService;

/// Asks entries whether they still get answers from upstreams whose announcements do not reach this
/// control process, since an upstream may be cut off from control alone. A first member that
/// streams data shows that all members of its group are alive. Sends no message while all upstreams
/// announce themselves. Thread-safe; guarded by one lock of rank LockRank::Requests.
class ServingEvidence
{
public:
    static constexpr auto queryMethod = "evidence.query";
    static constexpr auto answerMethod = "evidence.serves";
    /// An upstream counts as serving for this long after part of an answer; several queries fit
    /// into it, since messages may be lost. An entry does not tell of older ones.
    static constexpr auto lifetime = std::chrono::milliseconds(1500);

    ServingEvidence(ControlService &control, ServingEvidenceHooks hooks);

    /// Whether an entry recently received part of an answer from \a upstream or the first member of
    /// its group; asks the entries again when the last query is too old.
    auto isServing(const UpstreamId &upstream) -> bool;
    /// Asks all entries about \a upstream.
    auto queryEntries(const UpstreamId &upstream) -> void;
    /// Asks a few entries about \a upstream, others each time; returns whether these were all.
    auto querySomeEntries(const UpstreamId &upstream) -> bool;
    /// Whether an entry is known to have received part of an answer since \a since.
    [[nodiscard]] auto hasServedSince(const UpstreamId &upstream, MonotonicTime since) const
        -> bool;
    /// Handles a message of a peer; false when it is not an answer to a query.
    auto receive(const std::string &method, const Json &params) -> bool;

private:
    struct Evidence
    {
        std::optional<MonotonicTime> askedAt_;
        std::optional<MonotonicTime> servedAt_;
    };

    /// The first member of \a upstream's group, which receives its requests; \a upstream without
    /// one.
    [[nodiscard]] auto receiverOf(const UpstreamId &upstream) const -> UpstreamId;
    /// Whether a query about \a receiver is due; records it as sent if so.
    auto startQueryIfDue(const UpstreamId &receiver) -> bool;

    ControlService &control_;
    ServingEvidenceHooks hooks_;
    mutable RankedMutex mutex_;
    /// Where querySomeEntries() begins next in the list of live entries.
    std::size_t nextEntry_ = 0;
    std::map<UpstreamId, Evidence> evidence_;
};

} // namespace lycheereach
