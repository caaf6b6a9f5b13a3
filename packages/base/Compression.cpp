#include "base/Compression.h"

#include "base/ErrorCode.h"

#include <openssl/evp.h>
#include <zlib.h>

#include <charconv>
#include <string_view>
#include <vector>

namespace lycheereach {

namespace {

/// Shorter texts gain nothing.
constexpr std::size_t packedFrom = 2048;
/// Begins a packed text, followed by the length of the text and a colon; no JSON text begins so.
constexpr auto mark = std::string_view("z:");
constexpr std::size_t unpackedLimit = 64U << 20U;
constexpr std::size_t base64Group = 4;
constexpr std::size_t base64Bytes = 3;

auto damaged() -> Failure
{
    return Failure{Error::InvalidJson, "a packed text is damaged"};
}

auto fromBase64(std::string_view text) -> std::optional<std::vector<unsigned char>>
{
    if (text.size() % base64Group != 0)
        return std::nullopt;
    auto bytes = std::vector<unsigned char>(text.size() / base64Group * base64Bytes);
    const auto *source = reinterpret_cast<const unsigned char *>(text.data());
    if (EVP_DecodeBlock(bytes.data(), source, static_cast<int>(text.size())) < 0)
        return std::nullopt;
    return bytes;
}

} // namespace

auto packText(const std::string &text) -> std::string
{
    if (text.size() < packedFrom)
        return text;
    auto size = compressBound(text.size());
    auto bytes = std::vector<unsigned char>(size);
    const auto *source = reinterpret_cast<const unsigned char *>(text.data());
    if (compress2(bytes.data(), &size, source, text.size(), Z_BEST_SPEED) != Z_OK)
        return text;
    auto encoded = std::string(base64Group * ((size + base64Bytes - 1) / base64Bytes) + 1, '\0');
    auto *target = reinterpret_cast<unsigned char *>(encoded.data());
    encoded.resize(
        static_cast<std::size_t>(EVP_EncodeBlock(target, bytes.data(), static_cast<int>(size))));
    return std::string(mark) + std::to_string(text.size()) + ":" + encoded;
}

auto isPackedText(const std::string &text) -> bool
{
    return text.starts_with(mark);
}

auto unpackText(const std::string &packed) -> Result<std::string>
{
    if (!packed.starts_with(mark))
        return packed;
    const auto colon = packed.find(':', mark.size());
    if (colon == std::string::npos)
        return damaged();
    auto size = std::size_t{0};
    const auto *begin = packed.data() + mark.size();
    const auto parsed = std::from_chars(begin, packed.data() + colon, size);
    const auto bytes = fromBase64(std::string_view(packed).substr(colon + 1));
    if (parsed.ec != std::errc() || size > unpackedLimit || !bytes)
        return damaged();
    auto text = std::string(size, '\0');
    auto written = static_cast<uLongf>(size);
    auto *target = reinterpret_cast<unsigned char *>(text.data());
    const auto code = uncompress(target, &written, bytes->data(), bytes->size());
    if (code != Z_OK || written != size)
        return damaged();
    return text;
}

} // namespace lycheereach
