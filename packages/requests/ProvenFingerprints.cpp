#include "requests/ProvenFingerprints.h"

namespace lycheereach {

auto ProvenFingerprints::prove(const std::string &fingerprint, MonotonicTime now) -> void
{
    auto &provenAt = provenAt_[fingerprint];
    provenByTime_.erase({provenAt, fingerprint});
    provenAt = now;
    provenByTime_.emplace(now, fingerprint);
    if (provenAt_.size() <= maxCount)
        return;
    provenAt_.erase(provenByTime_.begin()->second);
    provenByTime_.erase(provenByTime_.begin());
}

auto ProvenFingerprints::contains(const std::string &fingerprint, MonotonicTime now) const -> bool
{
    const auto found = provenAt_.find(fingerprint);
    return found != provenAt_.end() && now - found->second < lifetime;
}

} // namespace lycheereach
