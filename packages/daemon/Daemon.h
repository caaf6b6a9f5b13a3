/// \file
/// \brief All parts of one `lycheereachd` process.
#pragma once

#include "base/Result.h"
#include "settings/DaemonSettings.h"

#include <atomic>
#include <memory>

namespace lycheereach {

/// All parts of one process, from start to graceful shutdown.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Loads the log, listens and takes part in the fleet.
    auto start() -> Result<Nothing>;
    /// Shuts down gracefully: leaves the list of entries, lets every request end, hands over the
    /// groups held here, then stops. Returns when that is done or \a hurry turns true.
    auto stop(const std::atomic<bool> &hurry) -> void;

private:
    class Parts;
    std::unique_ptr<Parts> parts_;
};

} // namespace lycheereach
