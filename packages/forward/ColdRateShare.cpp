#include "forward/ColdRateShare.h"

#include "requests/Rendezvous.h"

#include <cmath>
#include <string>

namespace lycheereach {

auto coldRateShare(double perSecond, const UpstreamId &upstream,
                   const std::vector<EntryId> &entries, const EntryId &self) -> std::uint32_t
{
    if (entries.empty())
        return 0;
    const auto total = static_cast<std::uint32_t>(std::floor(perSecond));
    const auto entryCount = static_cast<std::uint32_t>(entries.size());
    const auto evenShare = total / entryCount;
    auto names = std::vector<std::string>{};
    for (const auto &entry : entries)
        names.push_back(entry.text());
    const auto rank = rendezvousPosition(upstream.text(), names, self.text());
    return rank < total % entryCount ? evenShare + 1 : evenShare;
}

} // namespace lycheereach
