/// \file
/// \brief What the programs of stand-ins share: settings, keys, the control server, signals.
#pragma once

#include "base/Result.h"
#include "transport/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace lycheereach {

/// Reads a whole file.
auto readFile(const std::string &path) -> Result<std::string>;
/// A key without the line end; empty without a path.
auto readKey(const std::string &path) -> std::string;
/// Serves `POST /fault` at \a address; \a apply gets the body and returns whether it is valid.
auto serveFaults(WorkerPool &workers, const std::string &address,
                 std::function<bool(const std::string &)> apply) -> std::unique_ptr<HttpServer>;
/// Keeps SIGTERM and SIGINT from this thread and those it starts, for waitForStop().
auto blockStopSignals() -> void;
/// Returns when the process is told to stop.
auto waitForStop() -> void;

} // namespace lycheereach
