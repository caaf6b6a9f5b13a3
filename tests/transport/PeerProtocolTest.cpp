#include "transport/PeerFraming.h"
#include "transport/PeerHandshake.h"
#include "transport/PeerRpc.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;

TEST_GROUP(PeerFraming)
{
    FrameReader reader_ = FrameReader(8);
};

TEST(PeerFraming, framesInOddPieces_read_comeWhole)
{
    const auto bytes = encodeFrame("first") + encodeFrame("") + encodeFrame("third");
    auto frames = std::string{};
    for (const auto byte : bytes) {
        reader_.append({&byte, 1});
        while (const auto frame = reader_.next())
            frames += "[" + *frame + "]";
    }
    CHECK(frames == "[first][][third]");
}

TEST(PeerFraming, aFrameOverTheLimit_isTooLarge)
{
    reader_.append(encodeFrame("123456789").substr(0, 4));
    CHECK(reader_.isTooLarge());
    CHECK(!reader_.next());
}

TEST_GROUP(PeerHandshake)
{
    PeerHello hello_ = PeerHello{EntryId("a"), EntryId("b"), "nonce"};

    auto proof(PeerSide side, const std::string &key = "key")->std::string
    {
        return handshakeProof(key, side, hello_, "other");
    }
};

TEST(PeerHandshake, proofs_differBySideKeyAndName)
{
    CHECK(sameProof(proof(PeerSide::Connecting), proof(PeerSide::Connecting)));
    CHECK(!sameProof(proof(PeerSide::Connecting), proof(PeerSide::Listening)));
    CHECK(!sameProof(proof(PeerSide::Connecting), proof(PeerSide::Connecting, "guess")));
    const auto before = proof(PeerSide::Connecting);
    hello_.from_ = EntryId("c");
    CHECK(!sameProof(before, proof(PeerSide::Connecting)));
    CHECK(makeNonce() != makeNonce());
}

TEST_GROUP(PeerRpc)
{
    PeerRpcReader reader_;
};

TEST(PeerRpc, aMessage_encodedAndRead_isTheSame)
{
    const auto message = PeerMessage{"log.append", {{"term", 3}, {"text", "a \"quote\" \n"}}};
    const auto stamp = HybridTime{1'700'000'000'123'456, 9};
    const auto read = reader_.read(encodeNotification(message, stamp));
    CHECK(read.ok());
    CHECK(read.value() == (StampedMessage{stamp, message}));
}

TEST(PeerRpc, textThatIsNoNotification_read_isRefused)
{
    for (
        const auto *text :
        {"", "{", "[]", "3", R"({"jsonrpc":"2.0","method":"other","params":{}})",
         R"({"jsonrpc":"2.0","method":"notify","params":{"us":"x"}})",
         R"({"jsonrpc":"2.0","method":"notify","params":{"us":1,"n":-1,"method":"","params":""}})"})
        CHECK(!reader_.read(text).ok());
    CHECK(!reader_.read(std::string(100000, '[')).ok());
}
