#include "transport/HttpInput.h"

#include "transport/ConnectionRegistry.h"
#include "transport/ConnectionUsage.h"

#include <algorithm>
#include <utility>

namespace lycheereach {

namespace {

/// A head up to this size is part of what every connection takes; see connectionLimitsFor().
constexpr std::size_t freeHeadBytes = 4096;
/// What a request holds for each byte of a larger head: fields are kept as separate strings.
constexpr std::size_t bytesPerHeadByte = 2;
constexpr std::size_t smallestBodyCapacity = 4096;

} // namespace

HttpInput::HttpInput(std::shared_ptr<ConnectionUsage> usage, HttpInputLimitsSource limits)
    : usage_(std::move(usage))
    , limitsSource_(std::move(limits))
{
    usage_->limitIdleTime(limitsSource_().idleTimeout_);
}

auto HttpInput::begin() -> bool
{
    if (refusal_)
        return false;
    limits_ = limitsSource_();
    headBytes_ = 0;
    fields_ = 0;
    if (!usage_->beginRequest(limits_.headTimeout_))
        return false;
    usage_->limitIdleTime(limits_.idleTimeout_);
    return true;
}

auto HttpInput::takeHead(std::size_t bytes) -> bool
{
    if (refusal_)
        return false;
    headBytes_ += bytes;
    if (headBytes_ > limits_.headBytes_)
        return refuse(HttpRefusal::HeadTooLarge);
    if (headBytes_ > freeHeadBytes
        && !usage_->tryHoldInput(headBytes_ * bytesPerHeadByte + body_.capacity()))
        return refuse(HttpRefusal::NoMemory);
    return true;
}

auto HttpInput::beginField() -> bool
{
    if (refusal_)
        return false;
    return ++fields_ <= limits_.headerFields_ || refuse(HttpRefusal::TooManyFields);
}

auto HttpInput::endHead(std::optional<std::uint64_t> bodyBytes) -> bool
{
    if (refusal_)
        return false;
    // A limit that was raised while the head was on its way is in force for this body.
    limits_.bodyBytes_ = std::max(limits_.bodyBytes_, limitsSource_().bodyBytes_);
    if (bodyBytes.value_or(0) > limits_.bodyBytes_)
        return refuse(HttpRefusal::BodyTooLarge);
    largestBody_ = bodyBytes ? static_cast<std::size_t>(*bodyBytes) : limits_.bodyBytes_;
    usage_->endHead(limits_.bodySilenceTimeout_);
    return true;
}

auto HttpInput::takeBody(std::string_view part) -> bool
{
    if (refusal_)
        return false;
    const auto bytes = body_.size() + part.size();
    if (bytes > largestBody_)
        return refuse(HttpRefusal::BodyTooLarge);
    if (bytes > body_.capacity() && !grow(bytes))
        return refuse(HttpRefusal::NoMemory);
    body_.append(part);
    return true;
}

auto HttpInput::grow(std::size_t bytes) -> bool
{
    const auto usual = std::max(smallestBodyCapacity, body_.capacity() + body_.capacity() / 2);
    const auto capacity = std::clamp(usual, bytes, largestBody_);
    if (!usage_->tryHoldInput(headBytes_ * bytesPerHeadByte + capacity))
        return false;
    // A string that is not empty would at least double its capacity.
    auto larger = std::string();
    larger.reserve(capacity);
    larger.append(body_);
    body_.swap(larger);
    return true;
}

auto HttpInput::end() -> void
{
    completed_ = HttpBody(std::exchange(body_, {}), usage_->endRequest());
}

auto HttpInput::takeCompleted() -> HttpBody
{
    return std::exchange(completed_, {});
}

auto HttpInput::refuse(HttpRefusal refusal) -> bool
{
    refusal_ = refusal;
    body_ = {};
    usage_->dropInput();
    if (refusal == HttpRefusal::NoMemory)
        usage_->registry().countNoMemory();
    else
        usage_->registry().countTooLarge();
    return false;
}

} // namespace lycheereach
