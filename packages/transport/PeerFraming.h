/// \file
/// \brief Frames on a peer connection: four bytes of length, high byte first, then the payload.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lycheereach {

/// \a payload with its length in front.
auto encodeFrame(std::string_view payload) -> std::string;

/// Cuts received bytes into frames.
class FrameReader
{
public:
    explicit FrameReader(std::size_t limitBytes);

    /// Allows larger frames from now on.
    auto setLimit(std::size_t limitBytes) -> void { limit_ = limitBytes; }
    auto append(std::string_view bytes) -> void;
    /// The next whole frame; nothing while it is incomplete or isTooLarge().
    auto next() -> std::optional<std::string>;
    /// Whether the frame that has begun is larger than the limit.
    [[nodiscard]] auto isTooLarge() const -> bool;

private:
    [[nodiscard]] auto payloadSize() const -> std::optional<std::size_t>;

    std::size_t limit_;
    std::string bytes_;
    std::size_t start_ = 0;
};

} // namespace lycheereach
