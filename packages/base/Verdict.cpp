#include "base/Verdict.h"

#include <algorithm>

namespace lycheereach {

auto toString(Verdict verdict) -> std::string_view
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

auto parseVerdict(std::string_view text) -> std::optional<Verdict>
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        if (text == toString(verdict))
            return verdict;
    }
    return std::nullopt;
}

auto combine(Verdict first, Verdict second) -> Verdict
{
    return std::max(first, second);
}

} // namespace lycheereach
