#include "transport/PeerHandshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <span>

namespace lycheereach {

namespace {

constexpr std::size_t nonceBytes = 32;
constexpr unsigned nibbleBits = 4;
constexpr unsigned nibbleMask = 15;

auto toHex(std::span<const unsigned char> bytes) -> std::string
{
    constexpr auto digits = std::string_view("0123456789abcdef");
    auto text = std::string{};
    for (const auto byte : bytes) {
        text.push_back(digits[byte >> nibbleBits]);
        text.push_back(digits[byte & nibbleMask]);
    }
    return text;
}

} // namespace

auto makeNonce() -> std::string
{
    auto bytes = std::array<unsigned char, nonceBytes>{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        std::abort();
    return toHex(bytes);
}

auto handshakeProof(const std::string &key, PeerSide side, const PeerHello &hello,
                    const std::string &listeningNonce) -> std::string
{
    const auto text
        = Json::array({side == PeerSide::Connecting ? "connecting" : "listening",
                       hello.from_.text(), hello.to_.text(), hello.nonce_, listeningNonce})
              .dump();
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto size = 0U;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    return toHex(std::span(digest).first(size));
}

auto sameProof(const std::string &left, const std::string &right) -> bool
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace lycheereach
