/// \file
/// \brief A file of JSON lines about what stand-ins ran.
#pragma once

#include "base/JsonCodec.h"

#include <fstream>
#include <mutex>
#include <string>

namespace lycheereach {

/// Appends records with the wall time; without a path it drops them. Thread-safe.
class RecordFile
{
public:
    explicit RecordFile(const std::string &path);

    auto add(Json record) -> void;

private:
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace lycheereach
