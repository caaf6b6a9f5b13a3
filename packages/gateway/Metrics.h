/// \file
/// \brief The metrics of one process.
#pragma once

#include "base/Time.h"
#include "base/Verdict.h"

#include <memory>
#include <string>

namespace lycheereach {

/// The metrics of one process in Prometheus' text format. Thread-safe.
class Metrics
{
public:
    explicit Metrics(const std::string &entry);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    auto operator=(const Metrics &) -> Metrics & = delete;

    auto requestEnded(Verdict verdict, Duration took) -> void;
    auto attemptStarted() -> void;
    /// Sets a gauge; \a help is used when the gauge is new.
    auto set(const std::string &name, const std::string &help, double value) -> void;
    [[nodiscard]] auto text() const -> std::string;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lycheereach
