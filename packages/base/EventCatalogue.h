/// \file
/// \brief The numbered events. docs/EVENTS.md has a section for each; a test holds both together.
#pragma once

#include <span>
#include <string>

namespace lycheereach {

/// 10xx process, 11xx replicated log, 12xx declarations and zones, 13xx entries and leases,
/// 14xx upstreams, 15xx groups, 16xx permits and routing, 17xx requests, 18xx ledger,
/// 19xx overload, 20xx security. Numbers are never used again.
enum class EventNumber {
    ProcessStarted = 1001,
    ShutdownBegan = 1002,
    ProcessStopped = 1003,
    WorkSlow = 1004,
    WorkTime = 1005,
    HandlerFailed = 1006,
    LeaderElected = 1101,
    LeaderLost = 1102,
    SnapshotWritten = 1103,
    SnapshotInstalled = 1104,
    DiskFailed = 1105,
    VotersChanged = 1106,
    DiskFull = 1107,
    DiskHasSpace = 1108,
    CommitSlow = 1109,
    DiskRecovered = 1110,
    VoteRefused = 1111,
    LeaderMissing = 1112,
    VoterChangeProposed = 1113,
    ZoneExposureBegan = 1114,
    ZoneExposureEnded = 1115,
    ConfigurationAccepted = 1201,
    ConfigurationRefused = 1202,
    ConfigurationInForce = 1203,
    ZoneTakenOut = 1204,
    ZoneBroughtIn = 1205,
    ConfigurationAnswered = 1206,
    EntryJoined = 1301,
    EntryLeft = 1302,
    EntryLost = 1303,
    StateLeaseExpired = 1304,
    StateLeaseRenewed = 1305,
    UpstreamSeen = 1401,
    UpstreamLost = 1402,
    UpstreamRestarted = 1403,
    UpstreamDraining = 1404,
    AnnouncementRefused = 1405,
    ProbeFailed = 1406,
    LeaveAcknowledged = 1407,
    LeaveUnconfirmed = 1408,
    GroupForming = 1501,
    GroupLoading = 1502,
    GroupServing = 1503,
    GroupDraining = 1504,
    GroupDissolved = 1505,
    GroupRepaired = 1506,
    GroupAcrossDomains = 1507,
    OrderSent = 1508,
    OrderRefused = 1509,
    GroupStalled = 1510,
    LeaseholderGranted = 1601,
    PermitGranted = 1602,
    PermitRefused = 1603,
    UpstreamCold = 1604,
    UpstreamWarm = 1605,
    RequestReceived = 1701,
    AttemptStarted = 1702,
    AttemptEnded = 1703,
    RequestAnswered = 1704,
    RequestRefused = 1705,
    StreamResumed = 1706,
    CallerGone = 1707,
    ConnectionSilent = 1708,
    WrongAnswerDropped = 1709,
    RequestSuspected = 1710,
    RequestBlocked = 1711,
    RequestUnblocked = 1712,
    RequestCleared = 1713,
    ClaimCommitted = 1801,
    OutcomeStored = 1802,
    OutcomeUnknown = 1803,
    RequestShed = 1901,
    BudgetExceeded = 1902,
    ClientsLimited = 1903,
    KeyRejected = 2001,
};

/// What the catalogue says of one event.
struct CatalogueEntry
{
    EventNumber number_;
    const char *name_;
    /// One sentence for operators.
    const char *meaning_;
};

/// All events in the order of their numbers.
auto eventCatalogue() -> std::span<const CatalogueEntry>;
/// The entry of \a number.
auto catalogueEntry(EventNumber number) -> const CatalogueEntry &;
/// The number as printed, for example `LR-1204`.
auto printedNumber(EventNumber number) -> std::string;

} // namespace lycheereach
