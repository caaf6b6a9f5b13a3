/// \file
/// \brief Announces a stand-in upstream to entries.
#pragma once

#include "state/Announcement.h"
#include "transport/HookGate.h"
#include "transport/HttpClient.h"
#include "transport/WorkerPool.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// Where and how to announce.
struct AnnouncerSettings
{
    std::vector<std::string> entries_;
    std::string upstreamKey_;
    std::uint32_t everyMs_ = 500;
};

/// Announces again and again, to the entries that answers name first. Thread-safe.
class Announcer : public std::enable_shared_from_this<Announcer>
{
public:
    /// What to announce; nothing while the upstream is dead or paused.
    using Describe = std::function<std::optional<Announcement>()>;

    Announcer(WorkerPool &workers, HttpClient &client, AnnouncerSettings settings,
              Describe describe);

    /// Announces at once and then regularly.
    auto announce() -> void;
    /// Ends announcing; afterwards nothing is asked for any more.
    auto stop() -> void;

private:
    auto sendTo(std::size_t attempt) -> void;
    auto takeAnswer(const std::string &body) -> void;
    auto arm() -> void;
    auto target(std::size_t attempt) -> std::optional<std::string>;

    WorkerPool &workers_;
    HttpClient &client_;
    AnnouncerSettings settings_;
    Describe describe_;
    HookGate gate_;
    std::mutex mutex_;
    std::vector<std::string> announceTo_;
    std::size_t next_ = 0;
    bool underWay_ = false;
    bool again_ = false;
    bool stopped_ = false;
    std::shared_ptr<Timer> timer_;
};

} // namespace lycheereach
