#include "log/FrameCodec.h"

#include <cstdint>
#include <type_traits>
#include <xxhash.h>

namespace lycheereach {

namespace {

constexpr auto frameMagic = std::uint32_t(0x314c524c);
constexpr auto hashedHeaderBytes = std::size_t(16);
constexpr auto headerBytes = std::size_t(24);

enum class Operation : std::uint8_t { State = 1, Base = 2, Truncate = 3, Record = 4 };

template <typename Number>
auto appendNumber(std::string &bytes, Number number) -> void
{
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        bytes.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
}

auto appendText(std::string &bytes, const std::string &text) -> void
{
    appendNumber(bytes, static_cast<std::uint32_t>(text.size()));
    bytes += text;
}

auto seededHash(std::string_view bytes, std::size_t offset) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), offset);
}

/// Reads little-endian numbers and texts in order; after a read past the end ok() is false.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : bytes_(bytes)
    { }

    [[nodiscard]] auto ok() const -> bool { return ok_; }
    [[nodiscard]] auto atEnd() const -> bool { return bytes_.empty(); }

    template <typename Number>
    auto number() -> Number
    {
        const auto raw = readBytes(sizeof(Number));
        auto result = Number(0);
        for (std::size_t i = 0; i < raw.size(); ++i)
            result = static_cast<Number>(result
                                         | (Number(static_cast<unsigned char>(raw[i])) << (8 * i)));
        return result;
    }

    auto text() -> std::string
    {
        const auto length = number<std::uint32_t>();
        return std::string(readBytes(length));
    }

private:
    auto readBytes(std::size_t count) -> std::string_view
    {
        if (count > bytes_.size()) {
            ok_ = false;
            bytes_ = {};
            return {};
        }
        const auto result = bytes_.substr(0, count);
        bytes_.remove_prefix(count);
        return result;
    }

    std::string_view bytes_;
    bool ok_ = true;
};

auto replayRecord(ByteReader &reader, ReplayedLog &content) -> bool
{
    auto record = LogRecord{};
    record.index_ = reader.number<LogIndex>();
    record.term_ = reader.number<Term>();
    record.kind_ = static_cast<RecordKind>(reader.number<std::uint8_t>());
    record.payload_ = reader.text();
    if (!reader.ok() || record.index_ != content.base_.index_ + content.records_.size() + 1)
        return false;
    content.records_.push_back(std::move(record));
    return true;
}

auto replayState(ByteReader &reader, ReplayedLog &content) -> bool
{
    content.state_.term_ = reader.number<Term>();
    content.state_.commitIndex_ = reader.number<LogIndex>();
    content.state_.votedFor_ = EntryId(reader.text());
    content.state_.cluster_ = reader.text();
    return reader.ok();
}

auto replayBase(ByteReader &reader, ReplayedLog &content) -> bool
{
    content.base_.index_ = reader.number<LogIndex>();
    content.base_.term_ = reader.number<Term>();
    content.records_.clear();
    return reader.ok();
}

auto replayTruncate(ByteReader &reader, ReplayedLog &content) -> bool
{
    const auto lastKept = reader.number<LogIndex>();
    const auto base = content.base_.index_;
    if (!reader.ok() || lastKept < base)
        return false;
    if (lastKept < base + content.records_.size())
        content.records_.resize(lastKept - base);
    return true;
}

} // namespace

auto frameBytes(std::string_view body) -> std::size_t
{
    return headerBytes + body.size();
}

auto encodeFrame(std::size_t offset, std::string_view body) -> std::string
{
    auto frame = std::string{};
    frame.reserve(frameBytes(body));
    appendNumber(frame, frameMagic);
    appendNumber(frame, static_cast<std::uint32_t>(body.size()));
    appendNumber(frame, seededHash(body, offset));
    appendNumber(frame, seededHash(frame, offset));
    frame += body;
    return frame;
}

auto readFrame(std::string_view file, std::size_t offset) -> std::optional<std::string_view>
{
    if (offset > file.size() || file.size() - offset < headerBytes)
        return std::nullopt;
    auto header = ByteReader(file.substr(offset, headerBytes));
    const auto magic = header.number<std::uint32_t>();
    const auto length = header.number<std::uint32_t>();
    const auto bodyHash = header.number<std::uint64_t>();
    const auto headerHash = header.number<std::uint64_t>();
    if (magic != frameMagic
        || headerHash != seededHash(file.substr(offset, hashedHeaderBytes), offset))
        return std::nullopt;
    const auto body = file.substr(offset + headerBytes, length);
    if (body.size() != length || seededHash(body, offset) != bodyHash)
        return std::nullopt;
    return body;
}

auto findFrame(std::string_view file, std::size_t from) -> std::optional<std::size_t>
{
    auto magic = std::string{};
    appendNumber(magic, frameMagic);
    for (auto at = file.find(magic, from); at != std::string_view::npos;
         at = file.find(magic, at + 1)) {
        if (readFrame(file, at))
            return at;
    }
    return std::nullopt;
}

auto appendStateOperation(std::string &body, const LogState &state) -> void
{
    appendNumber(body, static_cast<std::uint8_t>(Operation::State));
    appendNumber(body, state.term_);
    appendNumber(body, state.commitIndex_);
    appendText(body, state.votedFor_.text());
    appendText(body, state.cluster_);
}

auto appendBaseOperation(std::string &body, const LogPosition &base) -> void
{
    appendNumber(body, static_cast<std::uint8_t>(Operation::Base));
    appendNumber(body, base.index_);
    appendNumber(body, base.term_);
}

auto appendTruncateOperation(std::string &body, LogIndex lastKept) -> void
{
    appendNumber(body, static_cast<std::uint8_t>(Operation::Truncate));
    appendNumber(body, lastKept);
}

auto appendRecordOperation(std::string &body, const LogRecord &record) -> void
{
    appendNumber(body, static_cast<std::uint8_t>(Operation::Record));
    appendNumber(body, record.index_);
    appendNumber(body, record.term_);
    appendNumber(body, static_cast<std::uint8_t>(record.kind_));
    appendText(body, record.payload_);
}

auto replayOperations(std::string_view body, ReplayedLog &content) -> bool
{
    auto reader = ByteReader(body);
    auto valid = true;
    while (valid && !reader.atEnd()) {
        switch (static_cast<Operation>(reader.number<std::uint8_t>())) {
        case Operation::State:
            valid = replayState(reader, content);
            break;
        case Operation::Base:
            valid = replayBase(reader, content);
            break;
        case Operation::Truncate:
            valid = replayTruncate(reader, content);
            break;
        case Operation::Record:
            valid = replayRecord(reader, content);
            break;
        default:
            valid = false;
        }
    }
    return valid;
}

} // namespace lycheereach
