#include "control/ControlFleet.h"

#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace std::chrono_literals;

/// Many entries renew with few control instances. Guards against renewals that take the leader's
/// time, which it needs for the log.
TEST_GROUP(RelaySelection)
{
    static constexpr std::size_t voters = 6;
    static constexpr std::size_t entries = 24;

    ControlFleet fleet_ = ControlFleet(3, voters, entries);
    /// The entries that sent a renewal to each control instance, by the number of its node.
    std::map<std::size_t, std::set<std::size_t>> renewedWith_;

    auto setup()->void override
    {
        fleet_.dropsMessage_ = [this](std::size_t from, std::size_t to, const std::string &method) {
            if (method == "control.renew" && from >= voters)
                renewedWith_[to].insert(from);
            return false;
        };
        for (std::size_t index = 0; index < fleet_.size(); ++index)
            fleet_.start(index);
        CHECK(fleet_.runUntilReady());
        fleet_.run(3s);
        renewedWith_.clear();
        fleet_.run(3s);
    }
};

TEST(RelaySelection, manyEntries_renewing_spreadOverAllRelaysButTheLeader)
{
    CHECK(renewedWith_[*fleet_.leader()].empty());
    auto used = 0;
    for (const auto &[relay, renewed] : renewedWith_) {
        used += renewed.empty() ? 0 : 1;
        CHECK(renewed.size() <= entries / 2);
    }
    CHECK(used >= 4);
}

TEST(RelaySelection, aRelayBecomesLeader_renewing_goesToTheOthers)
{
    const auto before = *fleet_.leader();
    fleet_.stop(before);
    CHECK(fleet_.runUntil([&] { return fleet_.leader() && *fleet_.leader() != before; }));
    fleet_.start(before);
    CHECK(fleet_.runUntilReady());
    fleet_.run(5s);
    renewedWith_.clear();
    fleet_.run(3s);
    CHECK(renewedWith_[*fleet_.leader()].empty());
}
