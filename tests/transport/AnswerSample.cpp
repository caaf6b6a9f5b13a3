#include "transport/AnswerSample.h"

#include <string_view>

using namespace std::string_literals;

namespace lycheereach {

namespace {

constexpr auto body = std::string_view("nine char");

auto withStatusLine(const std::string &name, const std::string &line) -> AnswerSample
{
    return {name, line + "\r\nContent-Length: 9\r\n\r\nnine char"};
}

auto withField(const std::string &name, const std::string &line) -> AnswerSample
{
    return {name,
            "HTTP/1.1 200 OK\r\nX-Seal: 1\r\n" + line + "\r\nContent-Length: 9\r\n\r\nnine char"};
}

/// \a fields end with their last character.
auto withFraming(const std::string &name, const std::string &fields,
                 const std::string &bytes = std::string(body)) -> AnswerSample
{
    return {name, "HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n" + bytes};
}

auto inChunks(const std::string &name, const std::string &bytes) -> AnswerSample
{
    return withFraming(name, "Transfer-Encoding: chunked", bytes);
}

auto sound(AnswerSample sample, std::uint16_t status = 200,
           const std::string &content = std::string(body)) -> AnswerSample
{
    sample.status_ = status;
    sample.body_ = content;
    return sample;
}

} // namespace

auto soundAnswers() -> std::vector<AnswerSample>
{
    return {
        sound(withStatusLine("a length", "HTTP/1.1 200 OK")),
        sound(withStatusLine("no reason phrase", "HTTP/1.1 200 ")),
        sound(withStatusLine("no reason phrase and no blank", "HTTP/1.1 200")),
        sound(withStatusLine("a reason in Latin-1", "HTTP/1.1 404 Pas trouv\xe9"), 404),
        sound(withStatusLine("a status that has no name", "HTTP/1.1 299 Odd"), 299),
        sound(withStatusLine("the last status", "HTTP/1.1 599 Odd"), 599),
        sound(withStatusLine("HTTP/1.0", "HTTP/1.0 200 OK")),
        sound(withStatusLine("an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK")),
        sound(withStatusLine("two interim answers",
                             "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 "
                             "Processing\r\n\r\nHTTP/1.1 200 OK")),
        sound(withField("an unusual name", "!#$%&'*+-.^_`|~09azAZ: 1")),
        sound(withField("an empty value", "X-Empty:")),
        sound(withField("blanks and a tab around a value", "X-Note: \t a \t ")),
        sound(withField("no blank before a value", "X-Note:a")),
        sound(withField("a value in UTF-8", "X-Note: caf\xc3\xa9")),
        sound(withField("a colon in a value", "X-Note: a:b")),
        sound({"lines that end with LF alone", "HTTP/1.1 200 OK\nContent-Length: 9\n\nnine char"}),
        sound(withFraming("no length", "X-Note: 1")),
        sound(withFraming("no length and no body", "X-Note: 1", ""), 200, ""),
        sound({"no field at all", "HTTP/1.1 200 OK\r\n\r\nnine char"}),
        sound(withFraming("a length of 0", "Content-Length: 0", ""), 200, ""),
        sound(withFraming("a length with zeros before it", "Content-Length: 009")),
        sound(withFraming("a length twice", "Content-Length: 9\r\nContent-Length: 9")),
        sound(withFraming("a list of the same length", "Content-Length: 9, 9")),
        sound(withFraming("a length, and more bytes than it says", "Content-Length: 9",
                          "nine char, and more")),
        sound({"204 without a body", "HTTP/1.1 204 No Content\r\n\r\n"}, 204, ""),
        sound({"304 with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"}, 304,
              ""),
        sound(inChunks("a chunk", "9\r\nnine char\r\n0\r\n\r\n")),
        sound(inChunks("chunks with sizes in any case and zeros", "4\r\nnine\r\n00\r\n\r\n"), 200,
              "nine"),
        sound(inChunks("chunks", "4\r\nnine\r\n5\r\n char\r\n000\r\n\r\n")),
        sound(inChunks("a large chunk in upper case",
                       "1A\r\n" + std::string(26, 'x') + "\r\n0\r\n\r\n"),
              200, std::string(26, 'x')),
        sound(
            inChunks("chunk extensions", "4;a\r\nnine\r\n5 ; b=\"c;d\"\r\n char\r\n0;e=f\r\n\r\n")),
        sound(inChunks("trailer fields", "9\r\nnine char\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n")),
        sound(inChunks("chunks, and bytes behind them", "9\r\nnine char\r\n0\r\n\r\nmore")),
        sound(withFraming("a coding in other case", "transfer-encoding:\tCHUNKED ",
                          "9\r\nnine char\r\n0\r\n\r\n")),
    };
}

auto malformedStatusLines() -> std::vector<AnswerSample>
{
    return {
        withStatusLine("status 000", "HTTP/1.1 000 OK"),
        withStatusLine("status 099", "HTTP/1.1 099 OK"),
        withStatusLine("status 600", "HTTP/1.1 600 OK"),
        withStatusLine("status 777", "HTTP/1.1 777 OK"),
        withStatusLine("a status of two digits", "HTTP/1.1 20 OK"),
        withStatusLine("a status of four digits", "HTTP/1.1 2000 OK"),
        withStatusLine("a letter behind the status", "HTTP/1.1 200x OK"),
        withStatusLine("a letter in the status", "HTTP/1.1 2x0 OK"),
        withStatusLine("a negative status", "HTTP/1.1 -20 OK"),
        withStatusLine("no status", "HTTP/1.1 OK"),
        withStatusLine("nothing behind the version", "HTTP/1.1"),
        withStatusLine("two blanks before the status", "HTTP/1.1  200 OK"),
        withStatusLine("a tab before the status", "HTTP/1.1\t200 OK"),
        withStatusLine("a tab behind the status", "HTTP/1.1 200\tOK"),
        withStatusLine("a blank before the version", " HTTP/1.1 200 OK"),
        withStatusLine("a version in lower case", "http/1.1 200 OK"),
        withStatusLine("another version", "HTTP/1.2 200 OK"),
        withStatusLine("another major version", "HTTP/2 200 OK"),
        withStatusLine("a long version", "HTTP/1.10 200 OK"),
        withStatusLine("another protocol", "ICY 200 OK"),
        withStatusLine("a control byte in the reason", "HTTP/1.1 200 O\x01K"),
        withStatusLine("a NUL in the reason", "HTTP/1.1 200 O\0K"s),
        withStatusLine("a CR in the reason", "HTTP/1.1 200 O\rK"),
        withStatusLine("an empty line first", "\r\nHTTP/1.1 200 OK"),
        withStatusLine("a switch of protocols",
                       "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK"),
        withStatusLine("a malformed interim status", "HTTP/1.1 10 Continue\r\n\r\nHTTP/1.1 200 OK"),
    };
}

auto malformedFields() -> std::vector<AnswerSample>
{
    auto samples = std::vector<AnswerSample>{
        withField("a blank before the colon", "X-Note : 1"),
        withField("a tab before the colon", "X-Note\t: 1"),
        withField("a blank before the colon of a length", "Content-Length : 5"),
        withField("a control byte in the name of a length", "Content\x01-Length: 5"),
        withField("a blank before the name", " X-Note: 1"),
        withField("a line that goes on in the next", "X-Note: 1\r\n more"),
        withField("no name", ": 1"),
        withField("no colon", "X-Note"),
        withField("a line of blanks", "   "),
        withField("a line with a tab", "\t"),
        withField("a CR alone", "\r"),
        withField("a CR at the start of a line", "\rX-Note: 1"),
        withField("a malformed field of an interim answer's kind", "Link;x"),
        {"a malformed field of an interim answer",
         "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
         "9\r\n\r\nnine char"},
        {"a blank line before the fields",
         "HTTP/1.1 200 OK\r\n \r\nContent-Length: 9\r\n\r\nnine char"},
    };
    // All bytes that are no part of a token, but for the colon, which ends the name, and LF.
    for (auto byte = 0; byte < 256; ++byte) {
        const auto character = static_cast<char>(byte);
        const auto isToken = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z')
            || (byte >= 'a' && byte <= 'z')
            || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
        if (!isToken && character != ':' && character != '\n')
            samples.push_back(withField("byte " + std::to_string(byte) + " in a name",
                                        "X"s + character + "Note: 1"));
        const auto isInValue = byte == '\t' || (byte >= ' ' && byte != 0x7f);
        if (!isInValue && character != '\n')
            samples.push_back(withField("byte " + std::to_string(byte) + " in a value",
                                        "X-Note: a"s + character + "b"));
    }
    return samples;
}

auto malformedFramings() -> std::vector<AnswerSample>
{
    return {
        withFraming("an empty length", "Content-Length:"),
        withFraming("letters behind a length", "Content-Length: 9abc"),
        withFraming("a letter as length", "Content-Length: x"),
        withFraming("a negative length", "Content-Length: -9"),
        withFraming("a length with a sign", "Content-Length: +9"),
        withFraming("a hexadecimal length", "Content-Length: 0x9"),
        withFraming("a length with a blank", "Content-Length: 9 9"),
        withFraming("a fraction as length", "Content-Length: 9.0"),
        withFraming("a length too large for a number", "Content-Length: 99999999999999999999999"),
        withFraming("a list of two lengths", "Content-Length: 9, 5"),
        withFraming("two lengths", "Content-Length: 9\r\nContent-Length: 5"),
        withFraming("two lengths, the first short", "Content-Length: 5\r\nContent-Length: 9"),
        withFraming("a length and a coding", "Content-Length: 9\r\nTransfer-Encoding: chunked",
                    "9\r\nnine char\r\n0\r\n\r\n"),
        withFraming("a coding and a length", "Transfer-Encoding: chunked\r\nContent-Length: 9",
                    "9\r\nnine char\r\n0\r\n\r\n"),
        withFraming("the coding identity", "Transfer-Encoding: identity"),
        withFraming("an unknown coding", "Transfer-Encoding: x-own"),
        withFraming("an empty coding", "Transfer-Encoding:"),
        withFraming("a further coding behind chunked", "Transfer-Encoding: chunked, identity",
                    "9\r\nnine char\r\n0\r\n\r\n"),
        withFraming("gzip before chunked", "Transfer-Encoding: gzip, chunked",
                    "9\r\nnine char\r\n0\r\n\r\n"),
        withFraming("chunked twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                    "9\r\nnine char\r\n0\r\n\r\n"),
        withFraming("a parameter of chunked", "Transfer-Encoding: chunked;q=1",
                    "9\r\nnine char\r\n0\r\n\r\n"),
        {"a coding in HTTP/1.0",
         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "9\r\nnine char\r\n0\r\n\r\n"},
        inChunks("no chunk size", "\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a chunk size that is none", "x\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a blank before a chunk size", " 9\r\nnine char\r\n0\r\n\r\n"),
        inChunks("text behind a chunk size", "9 nine\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a negative chunk size", "-9\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a chunk size with a prefix", "0x9\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a chunk size too large for a number",
                 "99999999999999999\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a control byte in a chunk extension", "9;a=\x01\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a chunk size that ends with LF alone", "9\nnine char\r\n0\r\n\r\n"),
        inChunks("a chunk longer than its size", "4\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a chunk shorter than its size", "a\r\nnine char\r\n0\r\n\r\n"),
        inChunks("a chunk that ends with LF alone", "9\r\nnine char\n0\r\n\r\n"),
        inChunks("a trailer line without a colon", "9\r\nnine char\r\n0\r\nX-Sum\r\n\r\n"),
        inChunks("a blank in the name of a trailer field",
                 "9\r\nnine char\r\n0\r\nX Sum: 1\r\n\r\n"),
    };
}

} // namespace lycheereach
