/// \file
/// \brief One thing wrong in a JSON document.
#pragma once

#include "base/Failure.h"

#include <string>
#include <vector>

namespace lycheereach {

class JsonLocator;

/// One thing wrong in a JSON document.
struct JsonFault
{
    /// The place as a JSON path, for example `/voters/0/id`.
    std::string path_;
    /// What was wrong and what would be right.
    std::string problem_;

    auto operator==(const JsonFault &) const -> bool = default;
};

/// Splits the message of a failure of `base/JsonCodec.h` into path and problem.
auto faultOf(const Failure &failure) -> JsonFault;

/// Adds those of \a found that are not at or below the path of one in \a faults: a value that could
/// not be read is not to be blamed for its content too.
auto addNewFaults(const std::vector<JsonFault> &found, std::vector<JsonFault> &faults) -> void;

/// All \a faults in one failure, a line each: `SOURCE:LINE: PATH: PROBLEM`.
auto faultsFailure(const std::vector<JsonFault> &faults, const std::string &source,
                   const JsonLocator &locator) -> Failure;

} // namespace lycheereach
