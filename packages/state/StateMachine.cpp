#include "state/StateMachine.h"

#include "base/Compression.h"
#include "state/CommandHandlers.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

auto accepted() -> CommandOutcome
{
    return CommandOutcome{.accepted_ = true};
}

auto refused(std::string why) -> CommandOutcome
{
    return CommandOutcome{.accepted_ = false, .message_ = std::move(why)};
}

StateMachine::StateMachine(EventSink sink)
    : sink_(std::move(sink))
{ }

auto StateMachine::apply(LogIndex index, const Command &command) -> CommandOutcome
{
    if (index <= state_.applied_)
        return refused("applied before");
    state_.applied_ = index;
    auto context = CommandContext{state_, index, sink_};
    return std::visit([&](const auto &body) { return handle(context, body); }, command);
}

auto StateMachine::advance(LogIndex index) -> void
{
    state_.applied_ = std::max(state_.applied_, index);
}

auto StateMachine::snapshot() const -> std::string
{
    return packText(encode(state_).dump());
}

auto StateMachine::restore(const std::string &snapshot) -> Result<Nothing>
{
    const auto text = unpackText(snapshot);
    const auto json = text ? parseBoundedJson(*text) : Json(Json::value_t::discarded);
    if (json.is_discarded())
        return Failure{Error::CorruptLog, "the snapshot of the control state is not readable"};
    auto restored = decode<FleetState>(json);
    if (!restored)
        return restored.failure();
    if (restored->applied_ < state_.applied_)
        return Failure{Error::Conflict, "the snapshot is older than the present state"};
    state_ = std::move(restored.value());
    return Nothing{};
}

} // namespace lycheereach
