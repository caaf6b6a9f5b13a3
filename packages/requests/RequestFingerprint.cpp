#include "requests/RequestFingerprint.h"

#include "requests/RequestDigest.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto partPrefix = std::string_view("part-");
/// Enough that two different texts never share a fingerprint in practice.
constexpr auto digestLength = std::size_t{24};

} // namespace

auto requestFingerprint(std::string_view caller, std::string_view target, std::string_view body)
    -> std::string
{
    return requestDigest(caller, target, body).substr(0, digestLength);
}

auto partFingerprint(std::string_view id) -> std::string
{
    return std::string(partPrefix) + sha256(id).substr(0, digestLength);
}

auto isPartFingerprint(std::string_view fingerprint) -> bool
{
    return fingerprint.starts_with(partPrefix);
}

auto partFingerprints(const std::vector<std::string_view> &ids) -> std::vector<std::string>
{
    auto fingerprints = std::vector<std::string>{};
    for (std::size_t index = 0; index + 1 < ids.size(); ++index) {
        if (fingerprints.size() == maxPartFingerprints)
            break;
        auto fingerprint = partFingerprint(ids[index]);
        if (std::find(fingerprints.begin(), fingerprints.end(), fingerprint) == fingerprints.end())
            fingerprints.push_back(std::move(fingerprint));
    }
    return fingerprints;
}

} // namespace lycheereach
