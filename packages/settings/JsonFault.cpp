#include "settings/JsonFault.h"

#include "settings/JsonLocator.h"

#include <algorithm>

namespace lycheereach {

namespace {

auto isAtOrBelow(const std::string &path, const std::string &upper) -> bool
{
    return path == upper || path.starts_with(upper + "/");
}

} // namespace

auto faultOf(const Failure &failure) -> JsonFault
{
    const auto separator = failure.message_.find(": ");
    if (separator == std::string::npos)
        return JsonFault{"/", failure.message_};
    return JsonFault{failure.message_.substr(0, separator), failure.message_.substr(separator + 2)};
}

auto addNewFaults(const std::vector<JsonFault> &found, std::vector<JsonFault> &faults) -> void
{
    const auto known = faults;
    for (const auto &fault : found) {
        const auto covers
            = [&](const JsonFault &other) { return isAtOrBelow(fault.path_, other.path_); };
        if (std::none_of(known.begin(), known.end(), covers))
            faults.push_back(fault);
    }
}

auto faultsFailure(const std::vector<JsonFault> &faults, const std::string &source,
                   const JsonLocator &locator) -> Failure
{
    auto ordered = faults;
    const auto earlier = [&](const JsonFault &left, const JsonFault &right) {
        return locator.lineOf(left.path_) < locator.lineOf(right.path_);
    };
    std::stable_sort(ordered.begin(), ordered.end(), earlier);
    auto message = std::string{};
    for (const auto &fault : ordered) {
        message += message.empty() ? "" : "\n";
        message += source + ":" + std::to_string(locator.lineOf(fault.path_)) + ": ";
        message += fault.path_ + ": " + fault.problem_;
    }
    return Failure{Error::InvalidArgument, message};
}

} // namespace lycheereach
