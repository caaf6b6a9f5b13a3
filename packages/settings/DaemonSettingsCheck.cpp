#include "settings/DaemonSettingsCheck.h"

#include "settings/DaemonSettings.h"
#include "settings/NetworkAddress.h"
#include "settings/TextFile.h"

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <map>
#include <optional>
#include <string>

namespace lycheereach {

namespace {

using Faults = std::vector<JsonFault>;

struct Range
{
    std::uint32_t lowest_;
    std::uint32_t highest_;
};

/// A lease or an election timeout covers at least this many renewals or heartbeats.
constexpr auto contactsPerTimeout = std::uint64_t{3};
constexpr auto workersRange = Range{1, 256};
constexpr auto stateLeaseRange = Range{300, 60000};
constexpr auto renewRange = Range{20, 20000};
constexpr auto addressKeepRange = Range{100, 600000};
constexpr auto shutdownRange = Range{0, 86400000};
constexpr auto heartbeatRange = Range{10, 10000};
constexpr auto electionRange = Range{50, 60000};
constexpr auto memoryLimitRange = Range{64, 1048576};

auto checkRange(const char *path, std::uint32_t value, Range range, Faults &faults) -> void
{
    if (value >= range.lowest_ && value <= range.highest_)
        return;
    faults.push_back({path,
                      std::to_string(value) + " is out of range; expected "
                          + std::to_string(range.lowest_) + " to "
                          + std::to_string(range.highest_)});
}

auto checkRanges(const DaemonSettings &settings, Faults &faults) -> void
{
    checkRange("/workers", settings.workers_, workersRange, faults);
    checkRange("/stateLeaseMs", settings.stateLeaseMs_, stateLeaseRange, faults);
    checkRange("/renewEveryMs", settings.renewEveryMs_, renewRange, faults);
    checkRange("/addressKeepMs", settings.addressKeepMs_, addressKeepRange, faults);
    checkRange("/shutdownLimitMs", settings.shutdownLimitMs_, shutdownRange, faults);
    checkRange("/logHeartbeatMs", settings.logHeartbeatMs_, heartbeatRange, faults);
    checkRange("/logElectionMs", settings.logElectionMs_, electionRange, faults);
    checkRange("/memoryLimitMb", settings.memoryLimitMb_, memoryLimitRange, faults);
}

auto checkRelations(const DaemonSettings &settings, Faults &faults) -> void
{
    if (settings.renewEveryMs_ * contactsPerTimeout > settings.stateLeaseMs_) {
        faults.push_back({"/renewEveryMs",
                          std::to_string(settings.renewEveryMs_)
                              + " is too long; three renewals must fit into stateLeaseMs, at most "
                              + std::to_string(settings.stateLeaseMs_ / contactsPerTimeout)});
    }
    if (settings.logHeartbeatMs_ * contactsPerTimeout > settings.logElectionMs_) {
        faults.push_back(
            {"/logHeartbeatMs",
             std::to_string(settings.logHeartbeatMs_)
                 + " is too long; three heartbeats must fit into logElectionMs, at most "
                 + std::to_string(settings.logElectionMs_ / contactsPerTimeout)});
    }
}

auto isNameCharacter(char character) -> bool
{
    const auto byte = static_cast<unsigned char>(character);
    return std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.';
}

auto checkName(const std::string &path, const std::string &name, Faults &faults) -> void
{
    if (name.empty())
        faults.push_back({path, "is empty; give a name"});
    else if (!std::all_of(name.begin(), name.end(), isNameCharacter))
        faults.push_back(
            {path, "\"" + name + "\" has other characters than letters, digits, '-', '_' and '.'"});
}

auto checkAddress(const std::string &path, const std::string &address, Faults &faults) -> void
{
    if (const auto problem = addressProblem(address); !problem.empty())
        faults.push_back({path, problem});
}

auto checkOwnNames(const DaemonSettings &settings, Faults &faults) -> void
{
    checkName("/id", settings.id_.text(), faults);
    checkName("/zone", settings.zone_.text(), faults);
    checkAddress("/address", settings.address_, faults);
    checkAddress("/peerAddress", settings.peerAddress_, faults);
    if (!settings.address_.empty() && settings.address_ == settings.peerAddress_)
        faults.push_back({"/peerAddress", "is the same as /address; give another port"});
}

auto checkVoterAgainstSelf(const DaemonSettings &settings, const PeerAddress &voter,
                           const std::string &path, Faults &faults) -> void
{
    if (settings.peerAddress_.empty())
        return;
    if (voter.id_ == settings.id_ && voter.peerAddress_ != settings.peerAddress_) {
        faults.push_back({path + "/peerAddress",
                          "is " + voter.peerAddress_ + ", but this entry's /peerAddress is "
                              + settings.peerAddress_ + "; make them the same"});
    }
    if (voter.id_ != settings.id_ && voter.peerAddress_ == settings.peerAddress_)
        faults.push_back({path + "/peerAddress",
                          "is this entry's own /peerAddress, but the id is " + voter.id_.text()
                              + "; correct one of them"});
    if (voter.peerAddress_ == settings.address_)
        faults.push_back(
            {path + "/peerAddress", "is this entry's /address for callers; name the peerAddress"});
}

auto checkVoters(const DaemonSettings &settings, Faults &faults) -> void
{
    if (settings.voters_.empty())
        faults.push_back({"/voters", "is empty; name the first voters of the control log"});
    auto ids = std::map<EntryId, std::string>{};
    auto addresses = std::map<std::string, std::string>{};
    auto position = std::size_t{0};
    for (const auto &voter : settings.voters_) {
        const auto path = "/voters/" + std::to_string(position++);
        checkName(path + "/id", voter.id_.text(), faults);
        checkAddress(path + "/peerAddress", voter.peerAddress_, faults);
        checkVoterAgainstSelf(settings, voter, path, faults);
        if (const auto [first, added] = ids.emplace(voter.id_, path); !added)
            faults.push_back({path + "/id", "is the same as " + first->second + "/id"});
        if (const auto [first, added] = addresses.emplace(voter.peerAddress_, path); !added)
            faults.push_back(
                {path + "/peerAddress", "is the same as " + first->second + "/peerAddress"});
    }
}

auto checkKeyFile(const char *path, const std::optional<std::string> &file, Faults &faults) -> void
{
    if (!file)
        return;
    if (const auto key = readKeyFile(*file); !key)
        faults.push_back({path, key.failure().message_});
}

auto checkDataFolder(const DaemonSettings &settings, Faults &faults) -> void
{
    const auto isSelf = [&](const PeerAddress &voter) { return voter.id_ == settings.id_; };
    const auto isVoter = std::any_of(settings.voters_.begin(), settings.voters_.end(), isSelf);
    if (!settings.dataFolder_) {
        if (isVoter)
            faults.push_back(
                {"/dataFolder",
                 "is missing; " + settings.id_.text() + " is one of the voters and needs one"});
        return;
    }
    auto code = std::error_code{};
    const auto folder = std::filesystem::path(*settings.dataFolder_);
    if (std::filesystem::exists(folder, code) && !std::filesystem::is_directory(folder, code))
        faults.push_back({"/dataFolder", *settings.dataFolder_ + " is not a folder"});
    else if (const auto parent = folder.parent_path();
             !parent.empty() && !std::filesystem::is_directory(parent, code))
        faults.push_back({"/dataFolder", "the folder " + parent.string() + " is missing; make it"});
}

auto checkFiles(const DaemonSettings &settings, Faults &faults) -> void
{
    checkKeyFile("/peerKeyFile", settings.peerKeyFile_, faults);
    checkKeyFile("/operatorKeyFile", settings.operatorKeyFile_, faults);
    checkKeyFile("/upstreamKeyFile", settings.upstreamKeyFile_, faults);
    checkDataFolder(settings, faults);
}

} // namespace

auto checkDaemonSettings(const DaemonSettings &settings) -> std::vector<JsonFault>
{
    auto faults = Faults{};
    checkOwnNames(settings, faults);
    checkVoters(settings, faults);
    checkFiles(settings, faults);
    checkRanges(settings, faults);
    checkRelations(settings, faults);
    return faults;
}

} // namespace lycheereach
