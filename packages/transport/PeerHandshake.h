/// \file
/// \brief The proof of the shared key at the start of a peer connection.
///
/// The connecting side sends PeerHello, the listening side PeerChallenge with its proof, the
/// connecting side PeerProof. Each proof is over both nonces, both names and the side.
#pragma once

#include "base/Ids.h"
#include "base/JsonCodec.h"

#include <string>

namespace lycheereach {

/// First message, from the connecting side.
struct PeerHello
{
    EntryId from_;
    EntryId to_;
    std::string nonce_;

    auto operator==(const PeerHello &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("from", &PeerHello::from_), field("to", &PeerHello::to_),
                          field("nonce", &PeerHello::nonce_)};
    }
};

/// Second message, from the listening side.
struct PeerChallenge
{
    std::string nonce_;
    std::string proof_;

    auto operator==(const PeerChallenge &) const -> bool = default;
    static constexpr auto fields()
    {
        return std::tuple{field("nonce", &PeerChallenge::nonce_),
                          field("proof", &PeerChallenge::proof_)};
    }
};

/// Third message, from the connecting side.
struct PeerProof
{
    std::string proof_;

    auto operator==(const PeerProof &) const -> bool = default;
    static constexpr auto fields() { return std::tuple{field("proof", &PeerProof::proof_)}; }
};

/// The side that proves the key.
enum class PeerSide {
    Connecting,
    Listening,
};

/// A random number in hexadecimal that is never used again.
auto makeNonce() -> std::string;
/// The proof of \a key by \a side over the handshake so far.
auto handshakeProof(const std::string &key, PeerSide side, const PeerHello &hello,
                    const std::string &listeningNonce) -> std::string;
/// Whether both proofs are the same; takes the same time wherever they differ.
auto sameProof(const std::string &left, const std::string &right) -> bool;

} // namespace lycheereach
