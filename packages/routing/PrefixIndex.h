/// \file
/// \brief Which groups are likely to have the prefix of a prompt in their cache.
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <list>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheereach {

/// The hashes of the blocks of a prompt; each one covers all text up to its end.
using PrefixChain = std::vector<std::uint64_t>;

/// The chain of \a prompt; a last block that is not full is left out.
auto prefixChain(std::string_view prompt) -> PrefixChain;

/// Which groups have which blocks, as far as known; bounded, the least recently used blocks go
/// first. A wrong entry costs speed only. Not thread-safe.
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t capacity);

    /// A request with \a chain was routed to \a group.
    auto routed(const PrefixChain &chain, const GroupId &group) -> void;
    /// A cache event of \a group. Events whose \a number shows a gap or an epoch unlike the last
    /// one's first forget all blocks of the group; older numbers are ignored.
    auto cacheChanged(const GroupId &group, Epoch epoch, std::uint64_t number,
                      const std::vector<std::uint64_t> &stored,
                      const std::vector<std::uint64_t> &evicted) -> void;
    /// Forgets \a group.
    auto forget(const GroupId &group) -> void;
    /// How many blocks at the start of \a chain each group has; groups with none are left out.
    [[nodiscard]] auto match(const PrefixChain &chain) const -> std::map<GroupId, std::size_t>;
    [[nodiscard]] auto size() const -> std::size_t { return blocks_.size(); }

private:
    struct Block
    {
        std::vector<GroupId> groups_;
        std::list<std::uint64_t>::iterator age_;
    };
    struct Feed
    {
        Epoch epoch_ = 0;
        std::uint64_t number_ = 0;
    };

    auto store(std::uint64_t hash, const GroupId &group) -> void;
    auto evict(std::uint64_t hash, const GroupId &group) -> void;

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, Block> blocks_;
    /// Least recently used first.
    std::list<std::uint64_t> ages_;
    std::map<GroupId, Feed> feeds_;
};

} // namespace lycheereach
