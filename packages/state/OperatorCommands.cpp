#include "state/CommandHandlers.h"
#include "state/DeclarationCheck.h"
#include "state/Differences.h"

#include <algorithm>

namespace lycheereach {

namespace {

constexpr auto operationRetention = std::size_t{10'000};
constexpr auto differenceLimit = std::size_t{200};

auto findOutcome(const FleetState &state, const OperationId &operation) -> const OperationOutcome *
{
    const auto matches
        = [&](const OperationOutcome &outcome) { return outcome.operation_ == operation; };
    const auto found = std::find_if(state.operations_.rbegin(), state.operations_.rend(), matches);
    return found == state.operations_.rend() ? nullptr : &*found;
}

auto keep(CommandContext &context, OperationOutcome outcome) -> CommandOutcome
{
    auto &operations = context.state_.operations_;
    if (operations.size() >= operationRetention)
        operations.erase(operations.begin());
    if (outcome.differences_.size() > differenceLimit)
        outcome.differences_.resize(differenceLimit);
    outcome.index_ = context.index_;
    const auto isAccepted = outcome.status_ == OperationStatus::Accepted;
    if (isAccepted)
        context.state_.requiredIndex_ = context.index_;
    operations.push_back(outcome);
    return CommandOutcome{
        .accepted_ = isAccepted, .message_ = outcome.message_, .operation_ = outcome};
}

auto repeated(const OperationOutcome &first) -> CommandOutcome
{
    return CommandOutcome{.accepted_ = first.status_ == OperationStatus::Accepted,
                          .message_ = first.message_,
                          .operation_ = first};
}

template <typename Operation>
auto begin(const Operation &command, std::string what) -> OperationOutcome
{
    return OperationOutcome{.operation_ = command.operation_,
                            .what_ = std::move(what),
                            .who_ = command.who_,
                            .atMs_ = command.atMs_};
}

auto emit(const CommandContext &context, EventNumber number, const OperationOutcome &outcome)
    -> void
{
    context.sink_(Event{number,
                        {{"operation", outcome.operation_.text()},
                         {"version", std::to_string(outcome.version_)},
                         {"reason", outcome.message_}}});
}

auto joined(const std::vector<std::string> &lines) -> std::string
{
    auto text = std::string{};
    for (const auto &line : lines) {
        text += text.empty() ? "" : "; ";
        text += line;
    }
    return text;
}

auto refuse(CommandContext &context, OperationOutcome outcome, OperationStatus status,
            std::string message) -> CommandOutcome
{
    outcome.status_ = status;
    outcome.message_ = std::move(message);
    emit(context, EventNumber::ConfigurationRefused, outcome);
    return keep(context, std::move(outcome));
}

/// Takes a zone out or brings it in. The upstreams of a zone that is brought in may have become
/// cold without having announced it yet, so those with a cold rate limit are cold until they
/// announce that they are warm.
auto changeZone(FleetState &state, const ZoneName &zone, bool out) -> void
{
    ++state.zonesVersion_;
    if (out) {
        state.zonesOut_.insert(zone);
        return;
    }
    state.zonesOut_.erase(zone);
    for (auto &[id, upstream] : state.upstreams_) {
        const auto *profile = findProfile(state.declaration_, upstream.announced_.pool_);
        if (upstream.announced_.zone_ == zone && profile != nullptr && profile->coldPerSecond_ > 0)
            upstream.announced_.cold_ = true;
    }
}

} // namespace

auto handle(CommandContext &context, const ApplyDeclaration &command) -> CommandOutcome
{
    auto &state = context.state_;
    if (const auto *first = findOutcome(state, command.operation_))
        return repeated(*first);
    auto outcome = begin(command, "apply");
    outcome.version_ = state.version_;
    outcome.differences_
        = differencesBetween(encode(state.declaration_), encode(command.declaration_));
    if (command.fromVersion_ != state.version_)
        return refuse(context, std::move(outcome), OperationStatus::Conflict,
                      "made from version " + std::to_string(command.fromVersion_)
                          + ", but the present version is " + std::to_string(state.version_)
                          + "; read the present declaration and apply again");
    const auto problems = checkDeclaration(command.declaration_);
    if (!problems.empty())
        return refuse(context, std::move(outcome), OperationStatus::Refused, joined(problems));
    state.declaration_ = command.declaration_;
    ++state.version_;
    outcome.version_ = state.version_;
    emit(context, EventNumber::ConfigurationAccepted, outcome);
    return keep(context, std::move(outcome));
}

auto handle(CommandContext &context, const PublishDeclaration &command) -> CommandOutcome
{
    auto &state = context.state_;
    if (command.revision_ <= state.revision_)
        return accepted();
    const auto problems = checkDeclaration(command.declaration_);
    if (!problems.empty())
        return refused(joined(problems));
    state.declaration_ = command.declaration_;
    state.revision_ = command.revision_;
    state.source_ = command.source_;
    ++state.version_;
    state.requiredIndex_ = context.index_;
    context.sink_(Event{EventNumber::ConfigurationAccepted,
                        {{"version", std::to_string(state.version_)},
                         {"revision", std::to_string(state.revision_)}}});
    return accepted();
}

auto handle(CommandContext &context, const EvacuateZone &command) -> CommandOutcome
{
    auto &state = context.state_;
    if (state.zonesOut_.contains(command.zone_) == command.out_)
        return accepted();
    changeZone(state, command.zone_, command.out_);
    state.requiredIndex_ = context.index_;
    const auto number = command.out_ ? EventNumber::ZoneTakenOut : EventNumber::ZoneBroughtIn;
    context.sink_(Event{number, {{"zone", command.zone_.text()}}});
    return accepted();
}

auto handle(CommandContext & /*context*/, const ConfirmState & /*command*/) -> CommandOutcome
{
    return accepted();
}

auto handle(CommandContext &context, const NoteTraffic & /*command*/) -> CommandOutcome
{
    context.state_.hasTraffic_ = true;
    return accepted();
}

auto handle(CommandContext &context, const SetZone &command) -> CommandOutcome
{
    auto &state = context.state_;
    if (const auto *first = findOutcome(state, command.operation_))
        return repeated(*first);
    const auto direction = std::string(command.out_ ? "out" : "in");
    auto outcome = begin(command, "zone " + direction + " " + command.zone_.text());
    outcome.version_ = state.zonesVersion_;
    const auto &zones = state.declaration_.zones_;
    const auto known = std::find(zones.begin(), zones.end(), command.zone_) != zones.end();
    if (!known && !isZoneOut(state, command.zone_))
        return refuse(context, std::move(outcome), OperationStatus::Refused,
                      "unknown zone '" + command.zone_.text()
                          + "'; the declaration names the zones");
    changeZone(state, command.zone_, command.out_);
    outcome.version_ = state.zonesVersion_;
    const auto number = command.out_ ? EventNumber::ZoneTakenOut : EventNumber::ZoneBroughtIn;
    context.sink_(
        Event{number, {{"zone", command.zone_.text()}, {"operation", command.operation_.text()}}});
    return keep(context, std::move(outcome));
}

auto handle(CommandContext &context, const DrainUpstream &command) -> CommandOutcome
{
    auto &state = context.state_;
    if (const auto *first = findOutcome(state, command.operation_))
        return repeated(*first);
    const auto verb = std::string(command.draining_ ? "drain " : "undrain ");
    auto outcome = begin(command, verb + command.upstream_.text());
    const auto found = state.upstreams_.find(command.upstream_);
    if (found == state.upstreams_.end())
        return refuse(context, std::move(outcome), OperationStatus::Refused,
                      "unknown upstream '" + command.upstream_.text()
                          + "'; `lycheereach status` lists them");
    found->second.draining_ = command.draining_;
    if (command.draining_)
        context.sink_(Event{
            EventNumber::UpstreamDraining,
            {{"upstream", command.upstream_.text()}, {"operation", command.operation_.text()}}});
    return keep(context, std::move(outcome));
}

} // namespace lycheereach
