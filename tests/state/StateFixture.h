/// \file
/// \brief A state machine with a small declared fleet, for the tests of its commands.
#pragma once

#include "state/StateMachine.h"

#include <string>
#include <vector>

namespace lycheereach {

/// Drives a StateMachine and keeps its events.
class StateFixture
{
public:
    StateFixture()
        : machine_([this](const Event &event) { events_.push_back(event); })
    { }

    auto run(const Command &command) -> CommandOutcome { return machine_.apply(++index_, command); }

    static auto declaration() -> Declaration
    {
        return Declaration{.zones_ = {ZoneName("a"), ZoneName("b")},
                           .pools_ = {Pool{PoolName("llm"), "model-1", 2}},
                           .services_ = {Service{PoolName("booking")}}};
    }

    auto applyDeclaration(const std::string &operation, Version from, const Declaration &content)
        -> CommandOutcome
    {
        return run(ApplyDeclaration{OperationId(operation), "tester", 0, from, content});
    }

    auto announce(const std::string &id, const std::string &domain = "f1",
                  const std::string &group = "", Epoch epoch = 0,
                  MemberPhase phase = MemberPhase::Idle) -> CommandOutcome
    {
        return announceAs(1, id, domain, group, epoch, phase);
    }

    auto announceAs(Incarnation incarnation, const std::string &id, const std::string &domain,
                    const std::string &group, Epoch epoch, MemberPhase phase) -> CommandOutcome
    {
        const auto announcement = Announcement{.upstream_ = UpstreamId(id),
                                               .incarnation_ = incarnation,
                                               .sequence_ = ++sequence_,
                                               .address_ = "127.0.0.1:1",
                                               .zone_ = ZoneName("a"),
                                               .fabricDomain_ = FabricDomain(domain),
                                               .pool_ = PoolName("llm"),
                                               .group_ = GroupId(group),
                                               .epoch_ = epoch,
                                               .phase_ = phase};
        return run(PutUpstream{announcement, EntryId("e1")});
    }

    auto form(const std::string &id, Epoch previous, const std::vector<std::string> &members)
        -> CommandOutcome
    {
        auto ids = std::vector<UpstreamId>(members.begin(), members.end());
        return run(FormGroup{GroupId(id), PoolName("llm"), ZoneName("a"), previous, ids});
    }

    auto joinEntry(const std::string &id, Incarnation incarnation) -> CommandOutcome
    {
        return run(PutEntry{EntryRecord{EntryId(id), incarnation, ZoneName("a"), "", ""}});
    }

    [[nodiscard]] auto state() const -> const FleetState & { return machine_.state(); }

    std::vector<Event> events_;
    StateMachine machine_;
    LogIndex index_ = 0;
    Sequence sequence_ = 0;
};

} // namespace lycheereach
