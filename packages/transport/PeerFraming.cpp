#include "transport/PeerFraming.h"

#include <cstdint>

namespace lycheereach {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;

} // namespace

auto encodeFrame(std::string_view payload) -> std::string
{
    const auto size = static_cast<std::uint32_t>(payload.size());
    auto frame = std::string{};
    frame.reserve(lengthBytes + payload.size());
    for (auto index = lengthBytes; index > 0; --index)
        frame.push_back(static_cast<char>(size >> (bitsPerByte * (index - 1))));
    frame.append(payload);
    return frame;
}

FrameReader::FrameReader(std::size_t limitBytes)
    : limit_(limitBytes)
{ }

auto FrameReader::append(std::string_view bytes) -> void
{
    if (start_ > 0) {
        bytes_.erase(0, start_);
        start_ = 0;
    }
    bytes_.append(bytes);
}

auto FrameReader::next() -> std::optional<std::string>
{
    const auto size = payloadSize();
    if (!size || *size > limit_ || bytes_.size() - start_ - lengthBytes < *size)
        return std::nullopt;
    auto payload = bytes_.substr(start_ + lengthBytes, *size);
    start_ += lengthBytes + *size;
    return payload;
}

auto FrameReader::isTooLarge() const -> bool
{
    const auto size = payloadSize();
    return size && *size > limit_;
}

auto FrameReader::payloadSize() const -> std::optional<std::size_t>
{
    if (bytes_.size() - start_ < lengthBytes)
        return std::nullopt;
    auto size = std::size_t{0};
    for (std::size_t index = 0; index < lengthBytes; ++index)
        size = size << bitsPerByte | static_cast<unsigned char>(bytes_[start_ + index]);
    return size;
}

} // namespace lycheereach
