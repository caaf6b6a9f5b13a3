/// \file
/// \brief Prometheus metrics of one process.
#pragma once

#include "base/Time.h"
#include "base/Verdict.h"

#include <memory>
#include <string>

namespace lycheereach {

/// Prometheus metrics of one process. Thread-safe.
class Metrics
{
public:
    /// Every metric gets \a entry as a label.
    explicit Metrics(const std::string &entry);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    auto operator=(const Metrics &) -> Metrics & = delete;

    /// \a duration is the time from the arrival of the request to the end of its response.
    auto requestEnded(Verdict verdict, Duration duration) -> void;
    auto attemptStarted() -> void;
    /// Sets the gauge \a name, and creates it with \a help when it doesn't exist yet.
    auto setGauge(const std::string &name, const std::string &help, double value) -> void;
    /// All metrics in the Prometheus text format.
    [[nodiscard]] auto serialize() const -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lycheereach
