#include "standins/RecordFile.h"

#include <chrono>

namespace lycheereach {

RecordFile::RecordFile(const std::string &path)
{
    if (!path.empty())
        file_.open(path, std::ios::app);
}

auto RecordFile::add(Json record) -> void
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    record["atUs"] = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    const auto line = record.dump();
    const auto lock = std::scoped_lock(mutex_);
    file_ << line << std::endl;
}

} // namespace lycheereach
