#include "standins/Announcer.h"

#include <utility>

namespace lycheereach {

namespace {

struct AnnounceAnswer
{
    bool accepted_ = false;
    std::vector<std::string> announceTo_;
    std::uint32_t everyMs_ = 0;

    static constexpr auto fields()
    {
        return std::tuple{field("accepted", &AnnounceAnswer::accepted_),
                          optionalField("announceTo", &AnnounceAnswer::announceTo_),
                          optionalField("everyMs", &AnnounceAnswer::everyMs_)};
    }
};

/// What one announcement has gathered of its answer.
struct AnswerState
{
    std::uint16_t status_ = 0;
    std::string body_;
};

} // namespace

Announcer::Announcer(WorkerPool &workers, HttpClient &client, AnnouncerSettings settings,
                     Describe describe)
    : workers_(workers)
    , client_(client)
    , settings_(std::move(settings))
    , describe_(std::move(describe))
{ }

auto Announcer::announce() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        again_ = underWay_;
        if (stopped_ || underWay_)
            return;
        underWay_ = true;
    }
    workers_.post([self = shared_from_this()] { self->sendTo(0); });
}

auto Announcer::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopped_ = true;
        timer_.reset();
    }
    gate_.close();
}

auto Announcer::target(std::size_t attempt) -> std::optional<std::string>
{
    const auto lock = std::scoped_lock(mutex_);
    if (attempt < announceTo_.size())
        return announceTo_[attempt];
    if (stopped_ || attempt >= announceTo_.size() + settings_.entries_.size())
        return std::nullopt;
    return settings_.entries_[next_++ % settings_.entries_.size()];
}

auto Announcer::sendTo(std::size_t attempt) -> void
{
    auto description = std::optional<Announcement>{};
    gate_.run([&] { description = describe_(); });
    const auto address = target(attempt);
    if (!description || !address) {
        arm();
        return;
    }
    auto call = HttpCall{};
    call.address_ = *address;
    call.connectTimeout_ = std::chrono::milliseconds(500);
    call.firstByteTimeout_ = std::chrono::seconds(1);
    call.request_ = {"POST",
                     "/v1/announce",
                     {{"Content-Type", "application/json"}},
                     encode(*description).dump()};
    if (!settings_.upstreamKey_.empty())
        call.request_.headers_.add("X-Upstream-Key", settings_.upstreamKey_);
    auto state = std::make_shared<AnswerState>();
    auto hooks = HttpCallHooks{};
    hooks.head_ = [state](const HttpResponse &head) { state->status_ = head.status_; };
    hooks.part_ = [state](std::string_view part) { state->body_ += part; };
    hooks.ended_ = [self = shared_from_this(), state, attempt](const HttpOutcome &outcome) {
        if (outcome.error_ || state->status_ != 200) {
            self->sendTo(attempt + 1);
            return;
        }
        self->takeAnswer(state->body_);
        self->arm();
    };
    client_.start(std::move(call), std::move(hooks));
}

auto Announcer::takeAnswer(const std::string &body) -> void
{
    const auto answer = decodeText<AnnounceAnswer>(body, "announce");
    if (!answer)
        return;
    const auto lock = std::scoped_lock(mutex_);
    announceTo_ = answer->announceTo_;
    if (answer->everyMs_ > 0)
        settings_.everyMs_ = answer->everyMs_;
}

auto Announcer::arm() -> void
{
    const auto lock = std::scoped_lock(mutex_);
    underWay_ = false;
    if (stopped_)
        return;
    const auto delay = std::chrono::milliseconds(again_ ? 0U : settings_.everyMs_);
    again_ = false;
    timer_ = workers_.after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->announce();
    });
}

} // namespace lycheereach
