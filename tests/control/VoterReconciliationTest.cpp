#include "control/VoterReconciliation.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(VoterReconciliation)
{
    EntryId a_{"a"};
    EntryId b_{"b"};
    EntryId c_{"c"};
    EntryId d_{"d"};
    VoterView view_{
        .voters_ = {EntryId("a"), EntryId("b"), EntryId("c")},
        .targetSize_ = 3,
    };
};

TEST(VoterReconciliation, allVotersAnswer_next_changesNothing)
{
    CHECK_FALSE(nextVoterChange(view_).has_value());
}

TEST(VoterReconciliation, aVoterWithAnEmptyDisk_next_isRemovedAndThenAdded)
{
    view_.wiped_ = {b_};
    CHECK(nextVoterChange(view_) == (VoterChange{std::nullopt, b_, VoterChangeReason::EmptyDisk}));
    view_.voters_.erase(b_);
    view_.wiped_.clear();
    view_.ready_ = {b_};
    CHECK(nextVoterChange(view_)
          == (VoterChange{b_, std::nullopt, VoterChangeReason::TooFewVoters}));
}

TEST(VoterReconciliation, aSilentVoterWithoutReplacement_next_isKept)
{
    view_.silent_ = {c_};
    CHECK_FALSE(nextVoterChange(view_).has_value());
}

TEST(VoterReconciliation, aSilentVoterWithAReplacement_next_isReplaced)
{
    view_.ready_ = {d_};
    view_.silent_ = {c_};
    CHECK(nextVoterChange(view_) == (VoterChange{std::nullopt, c_, VoterChangeReason::Silent}));
    view_.voters_.erase(c_);
    view_.silent_.clear();
    CHECK(nextVoterChange(view_)
          == (VoterChange{d_, std::nullopt, VoterChangeReason::TooFewVoters}));
}
