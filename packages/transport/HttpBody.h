/// \file
/// \brief The body of an HTTP request.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace lycheereach {

/// The body of an HTTP request. Copies share one text, which never changes.
class HttpBody
{
public:
    HttpBody() = default;
    // NOLINTNEXTLINE(google-explicit-constructor): a text is a body.
    HttpBody(std::string text)
        : HttpBody(std::move(text), nullptr)
    { }
    // NOLINTNEXTLINE(google-explicit-constructor)
    HttpBody(const char *text)
        : HttpBody(std::string(text))
    { }
    /// Keeps \a owner, for example what counts the memory of the text, as long as the text.
    HttpBody(std::string text, std::shared_ptr<void> owner)
        : content_(std::make_shared<const Content>(Content{std::move(owner), std::move(text)}))
    { }

    [[nodiscard]] auto text() const -> const std::string &
    {
        static const auto none = std::string();
        return content_ ? content_->text_ : none;
    }
    // NOLINTNEXTLINE(google-explicit-constructor): parsers take texts.
    operator const std::string &() const { return text(); }
    [[nodiscard]] auto empty() const -> bool { return text().empty(); }
    [[nodiscard]] auto size() const -> std::size_t { return text().size(); }
    [[nodiscard]] auto data() const -> const char * { return text().data(); }

    auto operator==(const HttpBody &other) const -> bool { return text() == other.text(); }

private:
    struct Content
    {
        /// Destroyed after the text.
        std::shared_ptr<void> owner_;
        std::string text_;
    };

    std::shared_ptr<const Content> content_;
};

} // namespace lycheereach
