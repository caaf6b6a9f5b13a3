/// \file
/// \brief A reply that keeps the whole answer.
#pragma once

#include "transport/HttpReply.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace lycheereach {

/// Keeps a whole answer.
class KeptReply : public HttpReply
{
public:
    auto send(HttpResponse response) -> void override { answer_ = std::move(response); }
    auto begin(HttpResponse) -> void override { }
    auto write(std::string, Written) -> void override { }
    auto finish() -> void override { }
    auto abort() -> void override { }
    auto onClosed(std::function<void()> closed) -> void override { closed_ = std::move(closed); }
    [[nodiscard]] auto remoteAddress() const -> std::string override { return "127.0.0.1:1"; }

    std::optional<HttpResponse> answer_;
    std::function<void()> closed_;
};

} // namespace lycheereach
