/// \file
/// \brief Reading a checked value from a JSON document with comments.
#pragma once

#include "base/Result.h"
#include "settings/DecodeAll.h"
#include "settings/JsonFault.h"
#include "settings/JsonLocator.h"

#include <functional>
#include <string>
#include <vector>

namespace lycheereach {

/// Reads a \a T from \a text and hands it to \a check, which returns the faults that the types
/// don't show. The failure lists every fault with \a source and line.
template <typename T>
auto loadJson(const std::string &text, const std::string &source,
              const std::function<std::vector<JsonFault>(const T &)> &check) -> Result<T>
{
    const auto json = parseJson(text, source);
    if (!json)
        return json.failure();
    const auto locator = JsonLocator(text);
    auto faults = std::vector<JsonFault>{};
    for (const auto &path : locator.repeatedKeys())
        faults.push_back({path, "the key is there twice; keep one"});
    auto value = decodeAll<T>(*json, faults);
    addNewFaults(check(value), faults);
    if (!faults.empty())
        return faultsFailure(faults, source, locator);
    return value;
}

} // namespace lycheereach
