/// \file
/// \brief The callbacks with which RESTinio's parser fills the HttpInput of a connection.
#pragma once

#include "transport/ClientSocket.h"

#include <restinio/all.hpp>

#include <climits>
#include <optional>

namespace lycheereach {

/// RESTinio's callbacks, in front of which each byte is counted. Bodies are gathered by HttpInput
/// instead of RESTinio, which would also keep 16 bytes for each chunk, and reserve at once what a
/// client announces. A request that is refused ends early: it reaches the request handler, which
/// finds the reason in the HttpInput.
template <typename MethodsMapper>
class HttpParserCallbacks
{
public:
    static auto settings() -> http_parser_settings
    {
        auto result = restinio::impl::create_parser_settings<MethodsMapper>();
        result.on_message_begin = &begin;
        result.on_url = &takeTarget;
        result.on_header_field = &takeFieldName;
        result.on_header_value = &takeFieldValue;
        result.on_headers_complete = &endHead;
        result.on_body = &takeBody;
        result.on_chunk_header = nullptr;
        result.on_message_complete = &end;
        return result;
    }

private:
    using Context = restinio::impl::http_parser_ctx_t;

    static constexpr auto succeeded = 0;
    static constexpr auto failed = -1;

    static auto begin(http_parser *parser) -> int
    {
        auto *input = ClientSocket::current();
        if (input == nullptr)
            return failed;
        // What follows a refused request is not parsed: it may be the rest of its body.
        if (!input->begin())
            http_parser_pause(parser, 1);
        return succeeded;
    }

    static auto takeTarget(http_parser *parser, const char *text, std::size_t size) -> int
    {
        if (!ClientSocket::current()->takeHead(size))
            return endEarly(parser);
        return restinio::impl::restinio_url_cb(parser, text, size);
    }

    static auto takeFieldName(http_parser *parser, const char *text, std::size_t size) -> int
    {
        if (!ClientSocket::current()->takeHead(size))
            return endEarly(parser);
        if (isTrailer(parser))
            return succeeded;
        // The name of a field may come in several parts.
        if (context(parser).m_last_was_value && !ClientSocket::current()->beginField())
            return endEarly(parser);
        return restinio::impl::restinio_header_field_cb(parser, text, size);
    }

    static auto takeFieldValue(http_parser *parser, const char *text, std::size_t size) -> int
    {
        if (!ClientSocket::current()->takeHead(size))
            return endEarly(parser);
        if (isTrailer(parser))
            return succeeded;
        return restinio::impl::restinio_header_value_cb(parser, text, size);
    }

    static auto endHead(http_parser *parser) -> int
    {
        // No other protocol is spoken here; a request to change to one is an ordinary request.
        parser->upgrade = 0;
        context(parser).m_leading_headers_completed = true;
        const auto isAnnounced
            = parser->content_length != ULLONG_MAX && (parser->flags & F_CHUNKED) == 0;
        const auto bodyBytes
            = isAnnounced ? std::optional<std::uint64_t>(parser->content_length) : std::nullopt;
        return ClientSocket::current()->endHead(bodyBytes) ? succeeded : endEarly(parser);
    }

    static auto takeBody(http_parser *parser, const char *text, std::size_t size) -> int
    {
        return ClientSocket::current()->takeBody({text, size}) ? succeeded : endEarly(parser);
    }

    static auto end(http_parser *parser) -> int
    {
        ClientSocket::current()->end();
        return restinio::impl::restinio_message_complete_cb<MethodsMapper>(parser);
    }

    /// Ends a refused request as if it were complete.
    static auto endEarly(http_parser *parser) -> int
    {
        return restinio::impl::restinio_message_complete_cb<MethodsMapper>(parser);
    }

    static auto context(http_parser *parser) -> Context &
    {
        return *static_cast<Context *>(parser->data);
    }

    static auto isTrailer(http_parser *parser) -> bool
    {
        return context(parser).m_leading_headers_completed;
    }
};

} // namespace lycheereach
