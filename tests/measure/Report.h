/// \file
/// \brief The results of a measuring program as a table and as JSON.
#pragma once

#include "base/JsonCodec.h"

#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// One figure, with the one it is compared to.
struct Figure
{
    std::string name_;
    double value_ = 0;
    std::string unit_;
    std::optional<double> baseline_;

    static constexpr auto fields()
    {
        return std::tuple{field("name", &Figure::name_), field("value", &Figure::value_),
                          field("unit", &Figure::unit_),
                          optionalField("baseline", &Figure::baseline_)};
    }
};

/// Prints \a figures with the ratios to their baselines.
inline auto printFigures(const std::vector<Figure> &figures) -> void
{
    std::printf("%-58s %12s %12s %8s  %s\n", "figure", "value", "baseline", "ratio", "unit");
    for (const auto &figure : figures) {
        std::printf("%-58s %12.3f", figure.name_.c_str(), figure.value_);
        if (figure.baseline_ && *figure.baseline_ != 0)
            std::printf(" %12.3f %8.3f", *figure.baseline_, figure.value_ / *figure.baseline_);
        else if (figure.baseline_)
            std::printf(" %12.3f %8s", *figure.baseline_, "-");
        else
            std::printf(" %12s %8s", "-", "-");
        std::printf("  %s\n", figure.unit_.c_str());
    }
}

/// Writes \a figures to the file behind `--json`, if there is one; false when that fails.
inline auto writeFigures(const std::vector<Figure> &figures, const std::vector<std::string> &words)
    -> bool
{
    for (auto i = std::size_t{0}; i + 1 < words.size(); ++i) {
        if (words[i] != "--json")
            continue;
        auto file = std::ofstream(words[i + 1]);
        file << encode(figures).dump(2) << "\n";
        return file.good();
    }
    return true;
}

} // namespace lycheereach
