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
auto put(std::string &bytes, Number number) -> void
{
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        bytes.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
}

auto putText(std::string &bytes, const std::string &text) -> void
{
    put(bytes, static_cast<std::uint32_t>(text.size()));
    bytes += text;
}

auto hash(std::string_view bytes, std::size_t offset) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), offset);
}

/// Reads from the front of a body; after a read past the end ok() is false.
class Reader
{
public:
    explicit Reader(std::string_view bytes)
        : bytes_(bytes)
    { }

    [[nodiscard]] auto ok() const -> bool { return ok_; }
    [[nodiscard]] auto atEnd() const -> bool { return bytes_.empty(); }

    template <typename Number>
    auto number() -> Number
    {
        const auto raw = take(sizeof(Number));
        auto result = Number(0);
        for (std::size_t i = 0; i < raw.size(); ++i)
            result = static_cast<Number>(result
                                         | (Number(static_cast<unsigned char>(raw[i])) << (8 * i)));
        return result;
    }

    auto text() -> std::string
    {
        const auto length = number<std::uint32_t>();
        return std::string(take(length));
    }

private:
    auto take(std::size_t count) -> std::string_view
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

auto replayRecord(Reader &reader, FrameContent &content) -> bool
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

auto replayState(Reader &reader, FrameContent &content) -> bool
{
    content.state_.term_ = reader.number<Term>();
    content.state_.commitIndex_ = reader.number<LogIndex>();
    content.state_.votedFor_ = EntryId(reader.text());
    content.state_.cluster_ = reader.text();
    return reader.ok();
}

auto replayBase(Reader &reader, FrameContent &content) -> bool
{
    content.base_.index_ = reader.number<LogIndex>();
    content.base_.term_ = reader.number<Term>();
    content.records_.clear();
    return reader.ok();
}

auto replayTruncate(Reader &reader, FrameContent &content) -> bool
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

auto frameLength(std::string_view body) -> std::size_t
{
    return headerBytes + body.size();
}

auto encodeFrame(std::size_t offset, std::string_view body) -> std::string
{
    auto frame = std::string{};
    frame.reserve(frameLength(body));
    put(frame, frameMagic);
    put(frame, static_cast<std::uint32_t>(body.size()));
    put(frame, hash(body, offset));
    put(frame, hash(frame, offset));
    frame += body;
    return frame;
}

auto readFrame(std::string_view file, std::size_t offset) -> std::optional<std::string_view>
{
    if (offset > file.size() || file.size() - offset < headerBytes)
        return std::nullopt;
    auto header = Reader(file.substr(offset, headerBytes));
    const auto magic = header.number<std::uint32_t>();
    const auto length = header.number<std::uint32_t>();
    const auto bodyHash = header.number<std::uint64_t>();
    const auto headerHash = header.number<std::uint64_t>();
    if (magic != frameMagic || headerHash != hash(file.substr(offset, hashedHeaderBytes), offset))
        return std::nullopt;
    const auto body = file.substr(offset + headerBytes, length);
    if (body.size() != length || hash(body, offset) != bodyHash)
        return std::nullopt;
    return body;
}

auto findFrame(std::string_view file, std::size_t from) -> std::optional<std::size_t>
{
    auto magic = std::string{};
    put(magic, frameMagic);
    for (auto at = file.find(magic, from); at != std::string_view::npos;
         at = file.find(magic, at + 1)) {
        if (readFrame(file, at))
            return at;
    }
    return std::nullopt;
}

auto appendStateOperation(std::string &body, const LogState &state) -> void
{
    put(body, static_cast<std::uint8_t>(Operation::State));
    put(body, state.term_);
    put(body, state.commitIndex_);
    putText(body, state.votedFor_.text());
    putText(body, state.cluster_);
}

auto appendBaseOperation(std::string &body, const LogPosition &base) -> void
{
    put(body, static_cast<std::uint8_t>(Operation::Base));
    put(body, base.index_);
    put(body, base.term_);
}

auto appendTruncateOperation(std::string &body, LogIndex lastKept) -> void
{
    put(body, static_cast<std::uint8_t>(Operation::Truncate));
    put(body, lastKept);
}

auto appendRecordOperation(std::string &body, const LogRecord &record) -> void
{
    put(body, static_cast<std::uint8_t>(Operation::Record));
    put(body, record.index_);
    put(body, record.term_);
    put(body, static_cast<std::uint8_t>(record.kind_));
    putText(body, record.payload_);
}

auto replayBody(std::string_view body, FrameContent &content) -> bool
{
    auto reader = Reader(body);
    auto sound = true;
    while (sound && !reader.atEnd()) {
        switch (static_cast<Operation>(reader.number<std::uint8_t>())) {
        case Operation::State:
            sound = replayState(reader, content);
            break;
        case Operation::Base:
            sound = replayBase(reader, content);
            break;
        case Operation::Truncate:
            sound = replayTruncate(reader, content);
            break;
        case Operation::Record:
            sound = replayRecord(reader, content);
            break;
        default:
            sound = false;
        }
    }
    return sound;
}

} // namespace lycheereach
