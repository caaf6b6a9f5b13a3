#include "transport/PeerNotification.h"

#include "base/BoundedJsonParser.h"

#include <utility>

namespace lycheereach {

namespace {

/// MessagePack's head of an array of four.
constexpr auto arrayOfFour = '\x94';
constexpr auto partCount = std::size_t{4};
/// Arrays and objects within each other; messages have fewer, and the library's reader recurses.
constexpr auto depthLimit = 32;

auto invalidNotification(const char *problem) -> Failure
{
    return {Error::InvalidJson, std::string("peer notification: ") + problem, Verdict::NotRun,
            std::nullopt};
}

} // namespace

auto encodeNotification(const PeerMessage &message, const HybridTime &stamp) -> std::string
{
    // The parts are written one by one, so that the parameters are not copied into an array.
    auto bytes = std::string(1, arrayOfFour);
    Json::to_msgpack(Json(stamp.wallMicroseconds_), bytes);
    Json::to_msgpack(Json(stamp.counter_), bytes);
    Json::to_msgpack(Json(message.method_), bytes);
    Json::to_msgpack(message.params_, bytes);
    return bytes;
}

auto decodeNotification(std::string_view bytes) -> Result<StampedMessage>
{
    auto parts = Json();
    auto parser = BoundedJsonParser(parts, depthLimit, noJsonValueLimit);
    if (!Json::sax_parse(bytes, &parser, Json::input_format_t::msgpack))
        return invalidNotification("not MessagePack");
    if (!parts.is_array() || parts.size() != partCount)
        return invalidNotification("not an array of four");
    const auto hasStamp = parts[0].is_number_integer() && parts[1].is_number_unsigned();
    if (!hasStamp || !parts[2].is_string())
        return invalidNotification("the stamp or the method is of another type");
    auto stamped = StampedMessage{};
    stamped.stamp_.wallMicroseconds_ = parts[0].get<std::int64_t>();
    stamped.stamp_.counter_ = parts[1].get<std::uint32_t>();
    stamped.message_.method_ = std::move(parts[2].get_ref<std::string &>());
    stamped.message_.params_ = std::move(parts[3]);
    return stamped;
}

} // namespace lycheereach
