/// \file
/// \brief Typed reading and writing of JSON from one list of fields for each value type.
///
/// A type takes part by a static function `fields()` that returns a tuple of field(). Reading
/// refuses unknown keys, wrong types and missing fields, and names the JSON path of the fault.
#pragma once

#include "base/Result.h"
#include "base/StrongId.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace lycheereach {

using Json = nlohmann::json;

/// Whether a key may be left out.
enum class Presence {
    Required,
    /// The member keeps its default when the key is missing.
    Optional,
};

/// One member of \a Owner under its key in JSON.
template <typename Owner, typename Member>
struct Field
{
    const char *key_;
    Member Owner::*member_;
    Presence presence_;
};

template <typename Owner, typename Member>
constexpr auto field(const char *key, Member Owner::*member) -> Field<Owner, Member>
{
    return {key, member, Presence::Required};
}

template <typename Owner, typename Member>
constexpr auto optionalField(const char *key, Member Owner::*member) -> Field<Owner, Member>
{
    return {key, member, Presence::Optional};
}

template <typename T>
concept HasFields = requires
{
    T::fields();
};

/// The spelling of an enumeration: specialize with a static `names()` that returns an array of
/// pairs of value and text.
template <typename T>
struct EnumNames;

template <typename T>
concept HasEnumNames = requires
{
    EnumNames<T>::names();
};

namespace detail {

/// The failure for a value at \a path.
auto jsonFailure(const std::string &path, const std::string &problem) -> Failure;
/// A message that lists the keys that \a path takes.
auto unknownKey(const std::string &path, const std::string &key,
                const std::vector<std::string> &known) -> Failure;

template <typename T>
struct IsStrongId : std::false_type
{ };
template <typename Tag>
struct IsStrongId<StrongId<Tag>> : std::true_type
{ };
template <typename T>
struct IsVector : std::false_type
{ };
template <typename T>
struct IsVector<std::vector<T>> : std::true_type
{ };
template <typename T>
struct IsSet : std::false_type
{ };
template <typename T>
struct IsSet<std::set<T>> : std::true_type
{ };
template <typename T>
struct IsMap : std::false_type
{ };
template <typename K, typename V>
struct IsMap<std::map<K, V>> : std::true_type
{ };
template <typename T>
struct IsOptional : std::false_type
{ };
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type
{ };

} // namespace detail

/// Writes \a value.
template <typename T>
auto encode(const T &value) -> Json
{
    if constexpr (HasFields<T>) {
        auto object = Json::object();
        const auto put = [&](const auto &entry) {
            const auto &member = value.*(entry.member_);
            using Member = std::remove_cvref_t<decltype(member)>;
            if constexpr (detail::IsOptional<Member>::value) {
                if (member)
                    object[entry.key_] = encode(*member);
            } else {
                object[entry.key_] = encode(member);
            }
        };
        std::apply([&](const auto &...entry) { (put(entry), ...); }, T::fields());
        return object;
    } else if constexpr (HasEnumNames<T>) {
        for (const auto &[candidate, name] : EnumNames<T>::names()) {
            if (candidate == value)
                return name;
        }
        return nullptr;
    } else if constexpr (detail::IsStrongId<T>::value) {
        return value.text();
    } else if constexpr (detail::IsVector<T>::value || detail::IsSet<T>::value) {
        auto array = Json::array();
        for (const auto &item : value)
            array.push_back(encode(item));
        return array;
    } else if constexpr (detail::IsMap<T>::value) {
        auto object = Json::object();
        for (const auto &[key, item] : value) {
            if constexpr (detail::IsStrongId<std::remove_cvref_t<decltype(key)>>::value)
                object[key.text()] = encode(item);
            else
                object[key] = encode(item);
        }
        return object;
    } else {
        return Json(value);
    }
}

/// Reads \a json into \a target; \a path names the place in failures.
template <typename T>
auto decodeInto(const Json &json, T &target, const std::string &path) -> Result<Nothing>;

namespace detail {

template <typename T>
auto decodeFields(const Json &json, T &target, const std::string &path) -> Result<Nothing>
{
    if (!json.is_object())
        return jsonFailure(path, std::string("expected an object, found ") + json.type_name());
    auto result = Result<Nothing>(Nothing{});
    auto known = std::vector<std::string>{};
    const auto take = [&](const auto &entry) {
        known.emplace_back(entry.key_);
        if (!result)
            return;
        auto &member = target.*(entry.member_);
        using Member = std::remove_cvref_t<decltype(member)>;
        const auto found = json.find(entry.key_);
        if (found != json.end()) {
            result = decodeInto(*found, member, path + "/" + entry.key_);
            return;
        }
        if (entry.presence_ == Presence::Required && !IsOptional<Member>::value)
            result = jsonFailure(path + "/" + entry.key_, "is missing; add this key");
    };
    std::apply([&](const auto &...entry) { (take(entry), ...); }, T::fields());
    if (!result)
        return result;
    for (const auto &item : json.items()) {
        if (std::find(known.begin(), known.end(), item.key()) == known.end())
            return unknownKey(path, item.key(), known);
    }
    return result;
}

template <typename T>
auto decodeEnum(const Json &json, T &target, const std::string &path) -> Result<Nothing>
{
    auto choices = std::string{};
    for (const auto &[candidate, name] : EnumNames<T>::names()) {
        if (json.is_string() && json.template get_ref<const std::string &>() == name) {
            target = candidate;
            return Nothing{};
        }
        choices += choices.empty() ? "" : ", ";
        choices += name;
    }
    return jsonFailure(path, "expected one of " + choices + ", found " + json.dump());
}

template <typename T>
auto decodeNumber(const Json &json, T &target, const std::string &path) -> Result<Nothing>
{
    if constexpr (std::is_floating_point_v<T>) {
        if (!json.is_number())
            return jsonFailure(path, std::string("expected a number, found ") + json.type_name());
        target = json.get<T>();
    } else {
        if (!json.is_number_integer())
            return jsonFailure(path,
                               std::string("expected a whole number, found ") + json.type_name());
        const auto fits = json.is_number_unsigned() ? std::in_range<T>(json.get<std::uint64_t>())
                                                    : std::in_range<T>(json.get<std::int64_t>());
        if (!fits)
            return jsonFailure(path, "the number " + json.dump() + " is out of range");
        target = json.get<T>();
    }
    return Nothing{};
}

template <typename T>
auto decodeItems(const Json &json, T &target, const std::string &path) -> Result<Nothing>
{
    if (!json.is_array())
        return jsonFailure(path, std::string("expected an array, found ") + json.type_name());
    target.clear();
    auto position = std::size_t{0};
    for (const auto &element : json) {
        auto item = typename T::value_type{};
        if (auto result = decodeInto(element, item, path + "/" + std::to_string(position)); !result)
            return result;
        target.insert(target.end(), std::move(item));
        ++position;
    }
    return Nothing{};
}

template <typename T>
auto decodeMap(const Json &json, T &target, const std::string &path) -> Result<Nothing>
{
    if (!json.is_object())
        return jsonFailure(path, std::string("expected an object, found ") + json.type_name());
    target.clear();
    for (const auto &element : json.items()) {
        auto item = typename T::mapped_type{};
        if (auto result = decodeInto(element.value(), item, path + "/" + element.key()); !result)
            return result;
        target.emplace(typename T::key_type(element.key()), std::move(item));
    }
    return Nothing{};
}

} // namespace detail

template <typename T>
auto decodeInto(const Json &json, T &target, const std::string &path) -> Result<Nothing>
{
    if constexpr (HasFields<T>) {
        return detail::decodeFields(json, target, path);
    } else if constexpr (HasEnumNames<T>) {
        return detail::decodeEnum(json, target, path);
    } else if constexpr (detail::IsOptional<T>::value) {
        auto inner = typename T::value_type{};
        auto result = decodeInto(json, inner, path);
        if (result)
            target = std::move(inner);
        return result;
    } else if constexpr (detail::IsVector<T>::value || detail::IsSet<T>::value) {
        return detail::decodeItems(json, target, path);
    } else if constexpr (detail::IsMap<T>::value) {
        return detail::decodeMap(json, target, path);
    } else if constexpr (std::is_same_v<T, Json>) {
        target = json;
        return Nothing{};
    } else if constexpr (std::is_same_v<T, bool>) {
        if (!json.is_boolean())
            return detail::jsonFailure(
                path, std::string("expected true or false, found ") + json.type_name());
        target = json.get<bool>();
        return Nothing{};
    } else if constexpr (std::is_arithmetic_v<T>) {
        return detail::decodeNumber(json, target, path);
    } else {
        if (!json.is_string())
            return detail::jsonFailure(path,
                                       std::string("expected a string, found ") + json.type_name());
        target = T(json.get<std::string>());
        return Nothing{};
    }
}

/// Reads a whole \a T.
template <typename T>
auto decode(const Json &json, const std::string &path = "") -> Result<T>
{
    auto value = T{};
    if (auto result = decodeInto(json, value, path); !result)
        return result.failure();
    return value;
}

/// How many arrays and objects may lie within each other in a text from outside. Copying, comparing
/// and writing a value recurse, so a deeper one could overflow the stack.
constexpr auto jsonDepthLimit = 128;

/// How many values a text from a client may hold: a value takes up to 110 bytes of memory, an empty
/// object only three of the text.
constexpr auto clientJsonValueLimit = std::size_t{200'000};
constexpr auto noJsonValueLimit = std::numeric_limits<std::size_t>::max();

/// Parses \a text; the value is discarded when it is not valid JSON, nests more deeply than
/// jsonDepthLimit or holds more than \a valueLimit values.
auto parseBoundedJson(std::string_view text, std::size_t valueLimit = noJsonValueLimit) -> Json;
/// \a json as text. Bytes of a string that are not UTF-8 are replaced: text from outside may hold
/// any, and Json::dump() throws on them.
auto toJsonText(const Json &json) -> std::string;

/// Parses \a text, with comments allowed; the failure names \a source and the line. Nesting is
/// limited by jsonDepthLimit, the number of values by \a valueLimit.
auto parseJson(const std::string &text, const std::string &source,
               std::size_t valueLimit = noJsonValueLimit) -> Result<Json>;

/// parseJson() and decode() in one.
template <typename T>
auto decodeText(const std::string &text, const std::string &source,
                std::size_t valueLimit = noJsonValueLimit) -> Result<T>
{
    const auto json = parseJson(text, source, valueLimit);
    if (!json)
        return json.failure();
    auto result = decode<T>(*json);
    if (!result) {
        auto failure = result.failure();
        failure.message_ = source + ": " + failure.message_;
        return failure;
    }
    return result;
}

} // namespace lycheereach
