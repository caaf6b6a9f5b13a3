#include "serving/ServingEvidence.h"

#include "control/ControlService.h"
#include "serving/EvidenceAnswer.h"
#include "serving/EvidenceQuery.h"

#include <algorithm>
#include <mutex>
#include <utility>
#include <vector>

namespace lycheereach {

namespace {

/// The least time between two queries about one upstream.
constexpr auto minQueryInterval = std::chrono::milliseconds(600);

/// The number of entries asked first; with up to twice as many, all are asked at once.
constexpr auto firstQueryEntries = std::size_t{8};

} // namespace

ServingEvidence::ServingEvidence(ControlService &control, ServingEvidenceHooks hooks)
    : control_(control)
    , hooks_(std::move(hooks))
    , mutex_(LockRank::Requests)
{ }

auto ServingEvidence::receiverOf(const UpstreamId &upstream) const -> UpstreamId
{
    return control_.readState([&](const FleetState &state) {
        const auto membership = state.groupOf_.find(upstream);
        if (membership == state.groupOf_.end())
            return upstream;
        return state.groups_.at(membership->second).members_.front();
    });
}

auto ServingEvidence::startQueryIfDue(const UpstreamId &receiver) -> bool
{
    const auto now = hooks_.now_();
    const auto lock = std::scoped_lock(mutex_);
    auto &askedAt = evidence_[receiver].askedAt_;
    if (askedAt && now - *askedAt < minQueryInterval)
        return false;
    askedAt = now;
    return true;
}

auto ServingEvidence::queryEntries(const UpstreamId &upstream) -> void
{
    const auto query = encode(EvidenceQuery{receiverOf(upstream)});
    for (const auto &entry : control_.liveEntries())
        hooks_.send_(entry, queryMethod, query);
}

auto ServingEvidence::querySomeEntries(const UpstreamId &upstream) -> bool
{
    const auto live = control_.liveEntries();
    if (live.size() <= 2 * firstQueryEntries) {
        queryEntries(upstream);
        return true;
    }
    auto start = std::size_t{0};
    {
        const auto lock = std::scoped_lock(mutex_);
        start = std::exchange(nextEntry_, (nextEntry_ + firstQueryEntries) % live.size());
    }
    const auto entries = std::vector<EntryId>(live.begin(), live.end());
    const auto query = encode(EvidenceQuery{receiverOf(upstream)});
    for (std::size_t index = 0; index < firstQueryEntries; ++index)
        hooks_.send_(entries[(start + index) % entries.size()], queryMethod, query);
    return false;
}

auto ServingEvidence::isServing(const UpstreamId &upstream) -> bool
{
    if (startQueryIfDue(receiverOf(upstream)))
        queryEntries(upstream);
    return hasServedSince(upstream, hooks_.now_() - lifetime);
}

auto ServingEvidence::hasServedSince(const UpstreamId &upstream, MonotonicTime since) const -> bool
{
    const auto receiver = receiverOf(upstream);
    const auto lock = std::scoped_lock(mutex_);
    const auto found = evidence_.find(receiver);
    return found != evidence_.end() && found->second.servedAt_ && *found->second.servedAt_ >= since;
}

auto ServingEvidence::receive(const std::string &method, const Json &params) -> bool
{
    if (method != answerMethod)
        return false;
    const auto answer = decode<EvidenceAnswer>(params);
    if (!answer)
        return true;
    const auto servedAt = hooks_.now_() - std::chrono::milliseconds(answer->ageMs_);
    const auto lock = std::scoped_lock(mutex_);
    auto &known = evidence_[answer->upstream_].servedAt_;
    known = std::max(known.value_or(servedAt), servedAt);
    return true;
}

} // namespace lycheereach
