#include "transport/ConnectionRegistry.h"

#include "transport/ConnectionUsage.h"

#include <string>
#include <utility>

namespace lycheereach {

namespace {

/// A request or response that has made no progress for longer counts as abandoned when memory is
/// short.
constexpr auto stallTime = std::chrono::seconds(1);
/// Closing a connection with less to send would make no room.
constexpr std::size_t smallResponseBytes = std::size_t{64} * 1024;
constexpr auto reportInterval = std::chrono::seconds(1);
/// A longer time between two ticks means that the process was paused.
constexpr auto longestTickInterval = std::chrono::milliseconds(600);

} // namespace

ConnectionRegistry::ConnectionRegistry(ConnectionLimits limits, EventSink event,
                                       std::function<MonotonicTime()> now)
    : limits_(limits)
    , event_(std::move(event))
    , now_(std::move(now))
    , reportedAt_(now_())
    , tickedAt_(reportedAt_)
{ }

auto ConnectionRegistry::admit(CloseHook close) -> std::shared_ptr<ConnectionUsage>
{
    auto id = std::uint64_t{0};
    run([&] { id = add(std::move(close)); });
    return id == 0 ? nullptr : std::make_shared<ConnectionUsage>(shared_from_this(), id);
}

auto ConnectionRegistry::add(CloseHook close) -> std::uint64_t
{
    if (records_.size() - closing_ >= limits_.connections_) {
        auto *idle = findIdle();
        if (idle == nullptr) {
            ++counters_.rejected_;
            return 0;
        }
        ++counters_.closedForConnections_;
        this->close(*idle);
    }
    auto record = Record{};
    record.close_ = std::move(close);
    record.receivedAt_ = now_();
    record.sentAt_ = record.receivedAt_;
    records_.emplace(++lastId_, std::move(record));
    return lastId_;
}

auto ConnectionRegistry::tick() -> void
{
    run([&] {
        closeLate();
        if (now_() - reportedAt_ >= reportInterval) {
            reportedAt_ = now_();
            report();
        }
    });
}

auto ConnectionRegistry::closeLate() -> void
{
    const auto now = now_();
    const auto pause = now - std::exchange(tickedAt_, now);
    for (auto &[id, record] : records_) {
        if (record.isClosing_ || !record.dueAt_)
            continue;
        // What has come while this process was paused is not read yet.
        if (pause > longestTickInterval) {
            *record.dueAt_ += pause;
        } else if (now >= *record.dueAt_) {
            counters_.timedOut_ += record.isReceiving_ ? 1 : 0;
            close(record);
        }
    }
}

auto ConnectionRegistry::setIdleIfDone(Record &record) -> void
{
    const auto isBusy = record.isReceiving_ || record.openRequests_ > 0 || record.outputBytes_ > 0;
    if (record.idleTimeout_ && !isBusy)
        record.dueAt_ = now_() + *record.idleTimeout_;
}

auto ConnectionRegistry::report() -> void
{
    const auto last = std::exchange(reported_, counters_);
    if (!event_ || last == counters_)
        return;
    auto event = Event{EventNumber::ClientsLimited, {}};
    const auto add = [&](const char *name, std::uint64_t before, std::uint64_t after) {
        if (before != after)
            event.attributes_[name] = std::to_string(after - before);
    };
    add("tooLarge", last.tooLarge_, counters_.tooLarge_);
    add("noMemory", last.noMemory_, counters_.noMemory_);
    add("closedForMemory", last.closedForMemory_, counters_.closedForMemory_);
    add("closedForConnections", last.closedForConnections_, counters_.closedForConnections_);
    add("timedOut", last.timedOut_, counters_.timedOut_);
    add("rejected", last.rejected_, counters_.rejected_);
    event.attributes_["connections"] = std::to_string(records_.size());
    event.attributes_["heldBytes"] = std::to_string(heldBytes_);
    event_(event);
}

auto ConnectionRegistry::countTooLarge() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ++counters_.tooLarge_;
}

auto ConnectionRegistry::countNoMemory() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    ++counters_.noMemory_;
}

auto ConnectionRegistry::counters() const -> ConnectionCounters
{
    const auto lock = std::scoped_lock(mutex_);
    auto counters = counters_;
    counters.open_ = records_.size();
    counters.heldBytes_ = heldBytes_;
    for (const auto &[id, record] : records_) {
        counters.unsentBytes_ += record.outputBytes_;
        counters.openRequests_ += record.openRequests_;
    }
    return counters;
}

auto ConnectionRegistry::remove(std::uint64_t id) -> void
{
    const auto found = records_.find(id);
    heldBytes_ -= found->second.inputBytes_ + found->second.outputBytes_;
    closing_ -= found->second.isClosing_ ? 1 : 0;
    records_.erase(found);
}

auto ConnectionRegistry::close(Record &record) -> void
{
    heldBytes_ -= record.inputBytes_ + record.outputBytes_;
    record.inputBytes_ = 0;
    record.outputBytes_ = 0;
    record.isClosing_ = true;
    ++closing_;
    dueHooks_.push_back(record.close_);
}

auto ConnectionRegistry::makeRoomForInput(std::size_t bytes, std::size_t limit, const Record &own)
    -> bool
{
    while (heldBytes_ + bytes > limit) {
        if (!closeForMemory(findStalled(own)) && !closeForMemory(findLargestInput(own)))
            return false;
    }
    return true;
}

auto ConnectionRegistry::makeRoomForOutput(const Record &own) -> void
{
    while (heldBytes_ > limits_.heldBytes_) {
        if (!closeForMemory(findStalled(own)) && !closeForMemory(findLargestInput(own))
            && !closeForMemory(findOldestOutput()))
            return;
    }
}

auto ConnectionRegistry::closeForMemory(Record *record) -> bool
{
    if (record == nullptr)
        return false;
    ++counters_.closedForMemory_;
    close(*record);
    return true;
}

auto ConnectionRegistry::stalledBytes(const Record &record) const -> std::size_t
{
    if (record.isClosing_ || record.isExempt_)
        return 0;
    const auto now = now_();
    const auto isInputStalled = record.openRequests_ == 0 && now - record.receivedAt_ >= stallTime;
    const auto isOutputStalled = now - record.sentAt_ >= stallTime;
    return (isInputStalled ? record.inputBytes_ : 0) + (isOutputStalled ? record.outputBytes_ : 0);
}

auto ConnectionRegistry::findStalled(const Record &own) -> Record *
{
    Record *found = nullptr;
    auto largest = std::size_t{0};
    for (auto &[id, record] : records_) {
        const auto bytes = &record == &own ? 0 : stalledBytes(record);
        if (bytes > largest) {
            largest = bytes;
            found = &record;
        }
    }
    return found;
}

auto ConnectionRegistry::findLargestInput(const Record &own) -> Record *
{
    Record *found = nullptr;
    for (auto &[id, record] : records_) {
        const auto isCandidate = &record != &own && !record.isClosing_ && !record.isExempt_
            && record.openRequests_ == 0 && record.outputBytes_ == 0;
        if (isCandidate
            && record.inputBytes_ > (found == nullptr ? own.inputBytes_ : found->inputBytes_))
            found = &record;
    }
    return found;
}

auto ConnectionRegistry::findOldestOutput() -> Record *
{
    Record *found = nullptr;
    for (auto &[id, record] : records_) {
        const auto isCandidate = !record.isClosing_ && record.outputBytes_ >= smallResponseBytes;
        if (isCandidate && (found == nullptr || record.sentAt_ < found->sentAt_))
            found = &record;
    }
    return found;
}

auto ConnectionRegistry::findIdle() -> Record *
{
    const auto isBusy = [](const Record &record) {
        return record.isClosing_ || record.isExempt_ || record.openRequests_ > 0
            || record.outputBytes_ > 0;
    };
    const auto rank = [](const Record &record) {
        return std::pair(record.hasSentRequest_, record.receivedAt_);
    };
    Record *found = nullptr;
    for (auto &[id, record] : records_) {
        if (!isBusy(record) && (found == nullptr || rank(record) < rank(*found)))
            found = &record;
    }
    return found;
}

} // namespace lycheereach
