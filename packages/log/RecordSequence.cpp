#include "log/RecordSequence.h"

#include <algorithm>

namespace lycheereach {

RecordSequence::RecordSequence(LogSnapshot snapshot, std::vector<LogRecord> records)
    : snapshot_(std::move(snapshot))
    , base_(snapshot_.position_)
{
    for (auto &record : records)
        append(std::move(record));
}

auto RecordSequence::last() const -> LogPosition
{
    return records_.empty() ? base_ : records_.back().position();
}

auto RecordSequence::termAt(LogIndex index) const -> std::optional<Term>
{
    if (index == base_.index_)
        return base_.term_;
    if (index < base_.index_ || index > last().index_)
        return std::nullopt;
    return at(index).term_;
}

auto RecordSequence::at(LogIndex index) const -> const LogRecord &
{
    return records_[index - base_.index_ - 1];
}

auto RecordSequence::range(LogIndex first, LogIndex lastIndex, std::size_t limitBytes) const
    -> std::vector<LogRecord>
{
    auto result = std::vector<LogRecord>{};
    auto bytes = std::size_t(0);
    for (auto index = first; index <= lastIndex; ++index) {
        const auto &record = at(index);
        bytes += record.payload_.size();
        if (!result.empty() && bytes > limitBytes)
            break;
        result.push_back(record);
    }
    return result;
}

auto RecordSequence::firstIndexOfTermAt(LogIndex index) const -> LogIndex
{
    const auto term = at(index).term_;
    while (index > base_.index_ + 1 && at(index - 1).term_ == term)
        --index;
    return index;
}

auto RecordSequence::voters() const -> const VoterSet &
{
    return voterChanges_.empty() ? snapshot_.voters_ : voterChanges_.back().second;
}

auto RecordSequence::votersIndex() const -> LogIndex
{
    return voterChanges_.empty() ? snapshot_.position_.index_ : voterChanges_.back().first;
}

auto RecordSequence::votersAt(LogIndex index) const -> VoterSet
{
    auto result = snapshot_.voters_;
    for (const auto &[changedAt, voters] : voterChanges_) {
        if (changedAt <= index)
            result = voters;
    }
    return result;
}

auto RecordSequence::append(LogRecord record) -> void
{
    if (record.kind_ == RecordKind::Voters) {
        if (auto voters = votersFromPayload(record.payload_))
            voterChanges_.emplace_back(record.index_, std::move(voters.value()));
    }
    records_.push_back(std::move(record));
}

auto RecordSequence::truncateAfter(LogIndex index) -> void
{
    while (!records_.empty() && records_.back().index_ > index)
        records_.pop_back();
    while (!voterChanges_.empty() && voterChanges_.back().first > index)
        voterChanges_.pop_back();
}

auto RecordSequence::compact(LogSnapshot snapshot, std::size_t keepRecords) -> void
{
    const auto index = snapshot.position_.index_;
    std::erase_if(voterChanges_, [&](const auto &change) { return change.first <= index; });
    snapshot_ = std::move(snapshot);
    while (!records_.empty() && records_.front().index_ + keepRecords <= index) {
        base_ = records_.front().position();
        records_.pop_front();
    }
}

auto RecordSequence::install(LogSnapshot snapshot) -> void
{
    const auto position = snapshot.position_;
    if (termAt(position.index_) == position.term_) {
        compact(std::move(snapshot), 0);
        return;
    }
    records_.clear();
    voterChanges_.clear();
    base_ = position;
    snapshot_ = std::move(snapshot);
}

} // namespace lycheereach
