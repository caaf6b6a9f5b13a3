/// \file
/// \brief Reading JSON with all faults reported, not only the first.
#pragma once

#include "base/JsonCodec.h"
#include "settings/JsonFault.h"

#include <algorithm>
#include <string>
#include <type_traits>
#include <vector>

namespace lycheereach {

/// Reads \a json into \a target as decodeInto() does, but goes on behind a fault and collects them.
template <typename T>
auto decodeAllInto(const Json &json, T &target, const std::string &path,
                   std::vector<JsonFault> &faults) -> void;

namespace detail {

template <typename T>
auto decodeAllFields(const Json &json, T &target, const std::string &path,
                     std::vector<JsonFault> &faults) -> void
{
    if (!json.is_object()) {
        faults.push_back(faultOf(
            jsonFailure(path, std::string("expected an object, found ") + json.type_name())));
        return;
    }
    auto known = std::vector<std::string>{};
    const auto take = [&](const auto &entry) {
        known.emplace_back(entry.key_);
        auto &member = target.*(entry.member_);
        using Member = std::remove_cvref_t<decltype(member)>;
        const auto place = path + "/" + entry.key_;
        const auto found = json.find(entry.key_);
        if (found != json.end())
            decodeAllInto(*found, member, place, faults);
        else if (entry.presence_ == Presence::Required && !IsOptional<Member>::value)
            faults.push_back({place, "is missing; add this key"});
    };
    std::apply([&](const auto &...entry) { (take(entry), ...); }, T::fields());
    for (const auto &item : json.items()) {
        if (std::find(known.begin(), known.end(), item.key()) == known.end())
            faults.push_back(faultOf(unknownKey(path, item.key(), known)));
    }
}

template <typename T>
auto decodeAllItems(const Json &json, T &target, const std::string &path,
                    std::vector<JsonFault> &faults) -> void
{
    target.clear();
    auto position = std::size_t{0};
    for (const auto &element : json) {
        auto item = typename T::value_type{};
        decodeAllInto(element, item, path + "/" + std::to_string(position), faults);
        target.push_back(std::move(item));
        ++position;
    }
}

} // namespace detail

template <typename T>
auto decodeAllInto(const Json &json, T &target, const std::string &path,
                   std::vector<JsonFault> &faults) -> void
{
    if constexpr (HasFields<T>) {
        detail::decodeAllFields(json, target, path, faults);
        return;
    }
    if constexpr (detail::IsVector<T>::value) {
        if (json.is_array()) {
            detail::decodeAllItems(json, target, path, faults);
            return;
        }
    }
    if constexpr (!HasFields<T>) {
        if (const auto result = decodeInto(json, target, path); !result)
            faults.push_back(faultOf(result.failure()));
    }
}

/// Reads a whole \a T and adds what is wrong to \a faults.
template <typename T>
auto decodeAll(const Json &json, std::vector<JsonFault> &faults) -> T
{
    auto value = T{};
    decodeAllInto(json, value, "", faults);
    return value;
}

} // namespace lycheereach
