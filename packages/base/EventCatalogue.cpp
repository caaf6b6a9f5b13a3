#include "base/EventCatalogue.h"

#include <algorithm>
#include <array>

namespace lycheereach {

namespace {

using enum EventNumber;

constexpr auto catalogue = std::to_array<CatalogueEntry>({
    {ProcessStarted, "process-started", "A process began with its settings checked."},
    {ShutdownBegan, "shutdown-began", "A planned stop began; no new request is taken."},
    {ProcessStopped, "process-stopped", "A planned stop ended with nothing cut off."},
    {WorkSlow, "work-slow", "One run of work held a worker for a long time."},
    {WorkTime, "work-time", "The time that each kind of work took since the last such event."},
    {HandlerFailed, "handler-failed",
     "The handler of an HTTP request failed with an error that it should have handled."},
    {LeaderElected, "leader-elected", "A voter became the leader of the control log."},
    {LeaderLost, "leader-lost", "The leader stepped down or lost contact with its quorum."},
    {SnapshotWritten, "snapshot-written", "A snapshot took the place of older log records."},
    {SnapshotInstalled, "snapshot-installed", "A snapshot of the leader was taken over."},
    {DiskFailed, "disk-failed",
     "A write or sync failed; this voter acknowledges nothing until it has recovered."},
    {VotersChanged, "voters-changed", "The set of voters of the control log changed."},
    {DiskFull, "disk-full", "The disk of a voter takes no more records."},
    {DiskHasSpace, "disk-has-space", "The disk of a voter takes records again."},
    {CommitSlow, "commit-slow", "A record of the control log was committed late."},
    {DiskRecovered, "disk-recovered",
     "A voter wrote everything to new files and takes part again."},
    {VoteRefused, "vote-refused", "A replica of the control log did not grant a vote."},
    {LeaderMissing, "leader-missing",
     "A replica of the control log has heard no leader for several election timeouts."},
    {VoterChangeProposed, "voter-change-proposed",
     "The leader proposed to add or remove a voter of the control log."},
    {ZoneExposureBegan, "zone-exposure-began",
     "The loss of one zone would stop the control log, though the settings tolerate it."},
    {ZoneExposureEnded, "zone-exposure-ended",
     "The control log would go on after the loss of any one zone."},
    {ConfigurationAccepted, "configuration-accepted", "A new version was committed."},
    {ConfigurationRefused, "configuration-refused", "An apply was refused; nothing changed."},
    {ConfigurationInForce, "configuration-in-force", "Every entry follows the version."},
    {ZoneTakenOut, "zone-taken-out", "An availability zone gets no new work."},
    {ZoneBroughtIn, "zone-brought-in", "An availability zone may get work again."},
    {ConfigurationAnswered, "configuration-answered",
     "The operator was answered; the times show where a change waited."},
    {EntryJoined, "entry-joined", "An entry registered with the control log."},
    {EntryLeft, "entry-left", "An entry left after a planned stop."},
    {EntryLost, "entry-lost", "An entry has not renewed its lease and is taken for dead."},
    {StateLeaseExpired, "state-lease-expired", "This entry takes no new work."},
    {StateLeaseRenewed, "state-lease-renewed", "This entry takes work again."},
    {UpstreamSeen, "upstream-seen", "An upstream that was new or lost announced itself."},
    {UpstreamLost, "upstream-lost", "An upstream stopped announcing itself."},
    {UpstreamRestarted, "upstream-restarted", "An upstream came back as a new incarnation."},
    {UpstreamDraining, "upstream-draining", "An upstream gets no new work."},
    {AnnouncementRefused, "announcement-refused", "An announcement was invalid or stale."},
    {ProbeFailed, "probe-failed", "A probed upstream gave no sign of life and is taken for dead."},
    {LeaveAcknowledged, "leave-acknowledged", "An upstream was told that it gets no new work."},
    {LeaveUnconfirmed, "leave-unconfirmed",
     "An upstream was asked to say elsewhere that it leaves; entries may still use it."},
    {GroupForming, "group-forming", "Members were chosen for a new epoch of a group."},
    {GroupLoading, "group-loading", "The members of a group load weights."},
    {GroupServing, "group-serving", "All members agree on the epoch; the group serves."},
    {GroupDraining, "group-draining", "A group finishes its requests and gets no new ones."},
    {GroupDissolved, "group-dissolved", "A group ended and its members are free."},
    {GroupRepaired, "group-repaired", "A spare took the place of a lost member."},
    {GroupAcrossDomains, "group-across-domains", "A group spans fabric domains, as allowed."},
    {OrderSent, "order-sent", "An order with its fencing number went to an instance."},
    {OrderRefused, "order-refused", "An instance refused an order as older than its last."},
    {GroupStalled, "group-stalled", "No stream of a group moved; its requests go elsewhere."},
    {LeaseholderGranted, "leaseholder-granted", "An entry holds the permits of a group."},
    {PermitGranted, "permit-granted", "A request may start at a group."},
    {PermitRefused, "permit-refused", "A group can carry no further request now."},
    {UpstreamCold, "upstream-cold", "An upstream turned cold; its limit is low."},
    {UpstreamWarm, "upstream-warm", "An upstream carries its full load."},
    {RequestReceived, "request-received", "A caller's request was read whole."},
    {AttemptStarted, "attempt-started", "A request went to an upstream."},
    {AttemptEnded, "attempt-ended", "An attempt ended, with its verdict."},
    {RequestAnswered, "request-answered", "The caller has the whole answer."},
    {RequestRefused, "request-refused", "The caller got an error, with its verdict."},
    {StreamResumed, "stream-resumed", "A broken stream goes on at its offset."},
    {CallerGone, "caller-gone", "The caller hung up; the attempt is cancelled."},
    {ConnectionSilent, "connection-silent", "A connection went silent and was given up."},
    {WrongAnswerDropped, "wrong-answer-dropped", "An answer carried another request's id."},
    {RequestSuspected, "request-suspected", "A request was running when an upstream died."},
    {RequestBlocked, "request-blocked", "A request that kills upstreams is refused."},
    {RequestUnblocked, "request-unblocked",
     "A request that killed upstreams no longer comes and is forgotten."},
    {RequestCleared, "request-cleared", "A suspected request or part ended well."},
    {ClaimCommitted, "claim-committed", "The right to dispatch a request once was committed."},
    {OutcomeStored, "outcome-stored", "The outcome of a claimed request was committed."},
    {OutcomeUnknown, "outcome-unknown", "A claimed request may have run; it never runs again."},
    {RequestShed, "request-shed", "A request was refused early because of load."},
    {BudgetExceeded, "budget-exceeded", "A workspace spent its budget."},
    {ClientsLimited, "clients-limited",
     "Requests were refused, or connections closed, because of the limits for clients."},
    {KeyRejected, "key-rejected", "A missing or wrong key was refused."},
});

} // namespace

auto eventCatalogue() -> std::span<const CatalogueEntry>
{
    return catalogue;
}

auto catalogueEntry(EventNumber number) -> const CatalogueEntry &
{
    const auto matches = [number](const CatalogueEntry &entry) { return entry.number_ == number; };
    return *std::find_if(catalogue.begin(), catalogue.end(), matches);
}

auto printedNumber(EventNumber number) -> std::string
{
    return "LR-" + std::to_string(static_cast<int>(number));
}

} // namespace lycheereach
