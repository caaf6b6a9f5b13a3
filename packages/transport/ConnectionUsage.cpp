#include "transport/ConnectionUsage.h"

#include "transport/ConnectionRegistry.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lycheereach {

namespace {

/// Incomplete requests may leave this part of the memory free, so that small requests are served
/// beside large ones: the limit divided by this.
constexpr std::size_t smallRequestDivisor = 4;
constexpr std::size_t smallRequestBytes = std::size_t{64} * 1024;

/// Calls a function when it is destroyed.
class Release
{
public:
    explicit Release(std::function<void()> release)
        : release_(std::move(release))
    { }
    ~Release() { release_(); }
    Release(const Release &) = delete;
    auto operator=(const Release &) -> Release & = delete;

private:
    std::function<void()> release_;
};

} // namespace

ConnectionUsage::ConnectionUsage(std::shared_ptr<ConnectionRegistry> registry, std::uint64_t id)
    : registry_(std::move(registry))
    , id_(id)
{ }

ConnectionUsage::~ConnectionUsage()
{
    const auto lock = std::scoped_lock(registry_->mutex_);
    registry_->remove(id_);
}

template <typename Change>
auto ConnectionUsage::withRecord(Change change) -> void
{
    registry_->run([&] { change(registry_->records_.at(id_)); });
}

auto ConnectionUsage::recordReceived() -> void
{
    withRecord([&](auto &record) {
        record.receivedAt_ = registry_->now_();
        if (record.bodySilenceTimeout_)
            record.dueAt_ = record.receivedAt_ + *record.bodySilenceTimeout_;
    });
}

auto ConnectionUsage::recordSent() -> void
{
    withRecord([&](auto &record) { record.sentAt_ = registry_->now_(); });
}

auto ConnectionUsage::limitIdleTime(Duration idleTimeout) -> void
{
    withRecord([&](auto &record) {
        record.idleTimeout_ = idleTimeout;
        registry_->setIdleIfDone(record);
    });
}

auto ConnectionUsage::beginRequest(Duration headTimeout) -> bool
{
    auto isOpen = false;
    withRecord([&](auto &record) {
        isOpen = !record.isClosing_;
        record.isReceiving_ = true;
        record.dueAt_ = registry_->now_() + headTimeout;
    });
    return isOpen;
}

auto ConnectionUsage::endHead(Duration bodySilenceTimeout) -> void
{
    withRecord([&](auto &record) {
        record.bodySilenceTimeout_ = bodySilenceTimeout;
        record.dueAt_ = registry_->now_() + bodySilenceTimeout;
    });
}

auto ConnectionUsage::tryHoldInput(std::size_t bytes) -> bool
{
    auto isHeld = false;
    withRecord([&](auto &record) {
        if (record.isClosing_)
            return;
        const auto more = bytes > record.inputBytes_ ? bytes - record.inputBytes_ : 0;
        const auto all = registry_->limits_.heldBytes_;
        const auto limit = bytes <= smallRequestBytes ? all : all - all / smallRequestDivisor;
        if (more > 0 && !registry_->makeRoomForInput(more, limit, record))
            return;
        registry_->heldBytes_ += bytes - record.inputBytes_;
        record.inputBytes_ = bytes;
        isHeld = true;
    });
    return isHeld;
}

auto ConnectionUsage::dropInput() -> void
{
    withRecord([&](auto &record) {
        registry_->heldBytes_ -= std::exchange(record.inputBytes_, 0);
        record.isReceiving_ = false;
        record.dueAt_.reset();
        record.bodySilenceTimeout_.reset();
    });
}

auto ConnectionUsage::endRequest() -> Hold
{
    auto bytes = std::size_t{0};
    withRecord([&](auto &record) {
        bytes = std::exchange(record.inputBytes_, 0);
        record.hasSentRequest_ = true;
        record.isReceiving_ = false;
        record.dueAt_.reset();
        record.bodySilenceTimeout_.reset();
    });
    // The request may outlive the connection.
    return std::make_shared<Release>([registry = registry_, bytes] {
        const auto lock = std::scoped_lock(registry->mutex_);
        registry->heldBytes_ -= bytes;
    });
}

auto ConnectionUsage::beginResponse() -> Hold
{
    withRecord([](auto &record) { ++record.openRequests_; });
    return std::make_shared<Release>([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->withRecord([&](auto &record) {
                --record.openRequests_;
                self->registry_->setIdleIfDone(record);
            });
    });
}

auto ConnectionUsage::holdOutput(std::size_t bytes) -> Hold
{
    withRecord([&](auto &record) {
        if (record.isClosing_)
            return;
        if (record.outputBytes_ == 0)
            record.sentAt_ = registry_->now_();
        record.outputBytes_ += bytes;
        registry_->heldBytes_ += bytes;
        registry_->makeRoomForOutput(record);
    });
    return std::make_shared<Release>([weak = weak_from_this(), bytes] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->withRecord([&](auto &record) {
            // Nothing when the connection is being closed.
            const auto released = std::min(bytes, record.outputBytes_);
            record.outputBytes_ -= released;
            self->registry_->heldBytes_ -= released;
            self->registry_->setIdleIfDone(record);
        });
    });
}

auto ConnectionUsage::exempt() -> void
{
    withRecord([](auto &record) { record.isExempt_ = true; });
}

} // namespace lycheereach
