#include "forward/ColdShare.h"

#include "requests/Rendezvous.h"

#include <cmath>
#include <string>

namespace lycheereach {

auto coldShare(double perSecond, const UpstreamId &upstream, const std::vector<EntryId> &entries,
               const EntryId &self) -> std::uint32_t
{
    if (entries.empty())
        return 0;
    const auto whole = static_cast<std::uint32_t>(std::floor(perSecond));
    const auto count = static_cast<std::uint32_t>(entries.size());
    const auto each = whole / count;
    auto names = std::vector<std::string>{};
    for (const auto &entry : entries)
        names.push_back(entry.text());
    const auto rank = rendezvousRank(upstream.text(), names, self.text());
    return rank < whole % count ? each + 1 : each;
}

} // namespace lycheereach
