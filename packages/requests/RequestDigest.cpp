#include "requests/RequestDigest.h"

#include <openssl/evp.h>

#include <array>

namespace lycheereach {

auto sha256(std::string_view text) -> std::string
{
    static constexpr auto hexDigits = std::string_view("0123456789abcdef");
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto size = 0U;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    auto result = std::string{};
    for (auto i = 0U; i < size; ++i) {
        result += hexDigits[digest[i] >> 4U];
        result += hexDigits[digest[i] & 15U];
    }
    return result;
}

auto requestDigest(std::string_view method, std::string_view route, std::string_view body)
    -> std::string
{
    auto text = std::string{};
    for (const auto part : {method, route, body}) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    return sha256(text);
}

} // namespace lycheereach
