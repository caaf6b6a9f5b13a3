#include "transport/PeerFraming.h"
#include "transport/PeerHandshake.h"
#include "transport/PeerNotification.h"

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

TEST_GROUP(PeerNotification){};

TEST(PeerNotification, aMessage_encodedAndRead_isTheSame)
{
    const auto message = PeerMessage{"log.append", {{"term", 3}, {"text", "a \"quote\" \n"}}};
    const auto stamp = HybridTime{1'700'000'000'123'456, 9};
    const auto read = decodeNotification(encodeNotification(message, stamp));
    CHECK(read.ok());
    CHECK(read.value() == (StampedMessage{stamp, message}));
}

TEST(PeerNotification, bytesThatAreNoNotification_read_areRefused)
{
    const auto whole = encodeNotification(PeerMessage{"test", 1}, HybridTime{5, 1});
    CHECK(decodeNotification(whole).ok());
    for (const auto &bytes :
         {std::string(), std::string("{"), whole.substr(0, whole.size() - 1), whole + "x",
          std::string("\x93\x01\x01\xa1x", 5), std::string("\x94\xa1x\x01\xa1x\x01", 7),
          std::string("\x94\x01\xff\xa1x\x01", 6), std::string("\x94\x01\x01\x05\x01", 5)})
        CHECK(!decodeNotification(bytes).ok());
    CHECK(!decodeNotification(std::string(100000, '\x91')).ok());
}

TEST(PeerNotification, textWithinText_encoded_costsNoEscapes)
{
    const auto text = Json{{"key", std::string(100, '"')}}.dump();
    const auto message = PeerMessage{"log.append", {{"payload", text}}};
    CHECK(encodeNotification(message, HybridTime{}).size() < text.size() + 50);
}
