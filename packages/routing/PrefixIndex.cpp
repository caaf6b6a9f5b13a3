#include "routing/PrefixIndex.h"

#include <xxhash.h>

#include <algorithm>

namespace lycheereach {

namespace {

/// The text of a prompt is hashed in blocks of this many bytes.
constexpr auto blockBytes = std::size_t{256};

} // namespace

auto prefixChain(std::string_view prompt) -> PrefixChain
{
    auto chain = PrefixChain{};
    auto hash = std::uint64_t{0};
    for (auto start = std::size_t{0}; start + blockBytes <= prompt.size(); start += blockBytes) {
        hash = XXH3_64bits_withSeed(prompt.data() + start, blockBytes, hash);
        chain.push_back(hash);
    }
    return chain;
}

PrefixIndex::PrefixIndex(std::size_t capacity)
    : capacity_(capacity)
{ }

auto PrefixIndex::recordRequest(const PrefixChain &chain, const GroupId &group) -> void
{
    for (const auto hash : chain)
        store(hash, group);
}

auto PrefixIndex::applyCacheEvent(const GroupId &group, Epoch epoch, std::uint64_t number,
                                  const std::vector<std::uint64_t> &stored,
                                  const std::vector<std::uint64_t> &evicted) -> void
{
    const auto found = lastEvents_.find(group);
    if (found != lastEvents_.end()) {
        const auto &last = found->second;
        if (std::pair(epoch, number) <= std::pair(last.epoch_, last.number_))
            return;
        if (epoch != last.epoch_ || number != last.number_ + 1)
            forgetGroup(group);
    }
    lastEvents_[group] = CacheEvent{epoch, number};
    for (const auto hash : evicted)
        evict(hash, group);
    for (const auto hash : stored)
        store(hash, group);
}

auto PrefixIndex::forgetGroup(const GroupId &group) -> void
{
    for (auto block = blocks_.begin(); block != blocks_.end();) {
        std::erase(block->second.groups_, group);
        if (!block->second.groups_.empty()) {
            ++block;
            continue;
        }
        lruOrder_.erase(block->second.lruPosition_);
        block = blocks_.erase(block);
    }
    lastEvents_.erase(group);
}

auto PrefixIndex::match(const PrefixChain &chain) const -> std::map<GroupId, std::size_t>
{
    auto matched = std::map<GroupId, std::size_t>{};
    for (auto depth = std::size_t{0}; depth < chain.size(); ++depth) {
        const auto block = blocks_.find(chain[depth]);
        if (block == blocks_.end())
            return matched;
        auto isExtended = false;
        for (const auto &group : block->second.groups_) {
            const auto known = matched.find(group);
            if (depth > 0 && (known == matched.end() || known->second != depth))
                continue;
            matched[group] = depth + 1;
            isExtended = true;
        }
        if (!isExtended)
            return matched;
    }
    return matched;
}

auto PrefixIndex::store(std::uint64_t hash, const GroupId &group) -> void
{
    auto [block, isNew] = blocks_.try_emplace(hash);
    if (!isNew)
        lruOrder_.erase(block->second.lruPosition_);
    block->second.lruPosition_ = lruOrder_.insert(lruOrder_.end(), hash);
    auto &groups = block->second.groups_;
    if (std::find(groups.begin(), groups.end(), group) == groups.end())
        groups.push_back(group);
    if (blocks_.size() <= capacity_)
        return;
    blocks_.erase(lruOrder_.front());
    lruOrder_.pop_front();
}

auto PrefixIndex::evict(std::uint64_t hash, const GroupId &group) -> void
{
    const auto block = blocks_.find(hash);
    if (block == blocks_.end())
        return;
    std::erase(block->second.groups_, group);
    if (!block->second.groups_.empty())
        return;
    lruOrder_.erase(block->second.lruPosition_);
    blocks_.erase(block);
}

} // namespace lycheereach
