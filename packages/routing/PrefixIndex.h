/// \file
/// \brief Tracks which groups probably have the prefix of a prompt in their cache.
#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <list>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheereach {

/// Chained hashes of the blocks of a prompt: each covers the text from the start to its block's
/// end.
using PrefixChain = std::vector<std::uint64_t>;

/// The hashes of \a prompt; a last block that is not full is left out.
auto prefixChain(std::string_view prompt) -> PrefixChain;

/// Tracks which groups have which prompt blocks in their prefix cache. Holds a bounded number of
/// blocks and evicts the least recently used first. A wrong entry only costs speed. Not
/// thread-safe.
class PrefixIndex
{
public:
    /// \a capacity is the number of blocks to hold.
    explicit PrefixIndex(std::size_t capacity);

    /// Records that a request with \a chain was sent to \a group, which then has its blocks.
    auto recordRequest(const PrefixChain &chain, const GroupId &group) -> void;
    /// Applies a cache event of \a group. Events are numbered within an epoch: one after a gap or
    /// of a new epoch first forgets all blocks of the group, and an older one is ignored.
    auto applyCacheEvent(const GroupId &group, Epoch epoch, std::uint64_t number,
                         const std::vector<std::uint64_t> &stored,
                         const std::vector<std::uint64_t> &evicted) -> void;
    /// Forgets all blocks and events of \a group.
    auto forgetGroup(const GroupId &group) -> void;
    /// The number of leading blocks of \a chain that each group has; groups with none are left out.
    [[nodiscard]] auto match(const PrefixChain &chain) const -> std::map<GroupId, std::size_t>;
    [[nodiscard]] auto size() const -> std::size_t { return blocks_.size(); }

private:
    struct Block
    {
        std::vector<GroupId> groups_;
        std::list<std::uint64_t>::iterator lruPosition_;
    };
    /// The last cache event of a group.
    struct CacheEvent
    {
        Epoch epoch_ = 0;
        std::uint64_t number_ = 0;
    };

    auto store(std::uint64_t hash, const GroupId &group) -> void;
    auto evict(std::uint64_t hash, const GroupId &group) -> void;

    std::size_t capacity_;
    std::unordered_map<std::uint64_t, Block> blocks_;
    /// Hashes of all blocks, least recently used first.
    std::list<std::uint64_t> lruOrder_;
    std::map<GroupId, CacheEvent> lastEvents_;
};

} // namespace lycheereach
