/// \file
/// \brief The settings of `lycheereachd`.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheereach {

/// Another entry as named in the settings.
struct PeerAddress
{
    EntryId id_;
    /// `IP:port` for other entries.
    std::string peerAddress_;

    auto operator==(const PeerAddress &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("id", &PeerAddress::id_),
                          field("peerAddress", &PeerAddress::peerAddress_)};
    }
};

/// The settings of one process, read once at its start.
struct DaemonSettings
{
    EntryId id_;
    ZoneName zone_;
    /// `IP:port` for callers, operators and upstreams.
    std::string address_;
    /// `IP:port` for other entries.
    std::string peerAddress_;
    /// The first voters of the control log; also where this entry asks first.
    std::vector<PeerAddress> voters_;
    /// Makes this entry a control instance; needed when it is one of the voters.
    std::optional<std::string> dataFolder_;
    /// Holds the key that the processes share.
    std::string peerKeyFile_;
    /// Holds the key that operators show; without it operators' calls are refused.
    std::optional<std::string> operatorKeyFile_;
    /// Holds the key that upstreams show; without it announcements need none.
    std::optional<std::string> upstreamKeyFile_;
    /// Where events are kept as JSON lines; without it only in memory.
    std::optional<std::string> eventFile_;
    std::uint32_t workers_ = 4;
    /// How long a state lease lasts, in milliseconds.
    std::uint32_t stateLeaseMs_ = 3000;
    /// How often an entry renews its lease, in milliseconds.
    std::uint32_t renewEveryMs_ = 500;
    /// How long callers may keep the list of entries, in milliseconds.
    std::uint32_t addressKeepMs_ = 2000;
    /// The longest planned stop, in milliseconds; 0 waits for ever.
    std::uint32_t shutdownLimitMs_ = 0;
    std::uint32_t logHeartbeatMs_ = 100;
    std::uint32_t logElectionMs_ = 600;
    /// The memory that the process may use, in MB; sets its limits for clients and responses.
    std::uint32_t memoryLimitMb_ = 256;

    auto operator==(const DaemonSettings &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("id", &DaemonSettings::id_),
                          field("zone", &DaemonSettings::zone_),
                          field("address", &DaemonSettings::address_),
                          field("peerAddress", &DaemonSettings::peerAddress_),
                          field("voters", &DaemonSettings::voters_),
                          field("dataFolder", &DaemonSettings::dataFolder_),
                          field("peerKeyFile", &DaemonSettings::peerKeyFile_),
                          field("operatorKeyFile", &DaemonSettings::operatorKeyFile_),
                          field("upstreamKeyFile", &DaemonSettings::upstreamKeyFile_),
                          field("eventFile", &DaemonSettings::eventFile_),
                          optionalField("workers", &DaemonSettings::workers_),
                          optionalField("stateLeaseMs", &DaemonSettings::stateLeaseMs_),
                          optionalField("renewEveryMs", &DaemonSettings::renewEveryMs_),
                          optionalField("addressKeepMs", &DaemonSettings::addressKeepMs_),
                          optionalField("shutdownLimitMs", &DaemonSettings::shutdownLimitMs_),
                          optionalField("logHeartbeatMs", &DaemonSettings::logHeartbeatMs_),
                          optionalField("logElectionMs", &DaemonSettings::logElectionMs_),
                          optionalField("memoryLimitMb", &DaemonSettings::memoryLimitMb_)};
    }
};

} // namespace lycheereach
