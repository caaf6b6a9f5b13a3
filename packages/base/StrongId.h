/// \file
/// \brief Identifiers that the compiler keeps apart.
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lycheereach {

/// A text identifier of the kind named by \a Tag.
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string text)
        : text_(std::move(text))
    { }

    [[nodiscard]] auto text() const -> const std::string & { return text_; }
    [[nodiscard]] auto empty() const -> bool { return text_.empty(); }

    auto operator<=>(const StrongId &) const = default;
    auto operator==(const StrongId &) const -> bool = default;

private:
    std::string text_;
};

template <typename Tag>
auto operator<<(std::ostream &stream, const StrongId<Tag> &id) -> std::ostream &
{
    return stream << id.text();
}

} // namespace lycheereach

template <typename Tag>
struct std::hash<lycheereach::StrongId<Tag>>
{
    auto operator()(const lycheereach::StrongId<Tag> &id) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(id.text());
    }
};
