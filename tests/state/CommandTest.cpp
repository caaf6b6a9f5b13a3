#include "StateFixture.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

namespace {

const auto everyCommand = std::vector<Command>{
    ApplyDeclaration{OperationId("o"), "who", 1, 2, StateFixture::declaration()},
    SetZone{OperationId("o"), "who", 1, ZoneName("z"), true},
    DrainUpstream{OperationId("o"), "who", 1, UpstreamId("u"), true},
    PutEntry{EntryRecord{EntryId("e"), 3, ZoneName("z"), "1", "2"}},
    SetEntryPhase{EntryId("e"), 3, EntryPhase::Leaving},
    PutUpstream{Announcement{.upstream_ = UpstreamId("u"), .carries_ = 4}, EntryId("e")},
    LoseUpstream{UpstreamId("u"), 3, EntryId("e")},
    RetireUpstream{UpstreamId("u"), 3},
    FormGroup{GroupId("g"), PoolName("p"), ZoneName("z"), 1, {UpstreamId("u")}},
    SetGroupPhase{GroupId("g"), 2, GroupPhase::Serving},
    SetLeaseholder{GroupId("g"), 2, EntryId("e")},
    ClaimRequest{IdempotencyKey("k"), "d", EntryId("e"), 3, RequestId("r"), 9},
    SettleClaim{IdempotencyKey("k"), RequestId("r"), ClaimPhase::Completed, StoredAnswer{200}},
    ExpireClaims{77},
    BlockRequest{"f", 5},
    UnblockRequest{"f"},
    PublishDeclaration{3, StateFixture::declaration(), "{}"},
    EvacuateZone{ZoneName("z"), true},
    ConfirmState{},
    NoteTraffic{},
};

} // namespace

TEST_GROUP(Command){};

TEST(Command, everyKind_writtenAndRead_isTheSame)
{
    CHECK(everyCommand.size() == std::variant_size_v<Command>);
    for (const auto &command : everyCommand) {
        const auto read = decodeCommand(encodeCommand(command));
        CHECK(read.ok());
        CHECK(*read == command);
    }
}

TEST(Command, bytesThatAreNoCommand_areRefused)
{
    for (const auto &bytes : {std::string(), std::string("[1]"), std::string("{\"x\": 1}"),
                              std::string("{\"zone\": {}}")})
        CHECK_FALSE(decodeCommand(bytes).ok());
}
