#include "client/RequestSender.h"

#include "client/Problem.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <utility>

namespace lycheereach {

namespace {

constexpr auto success = 300;
constexpr auto firstBackoff = Duration(std::chrono::milliseconds(50));
constexpr auto longestBackoff = Duration(std::chrono::seconds(2));

/// An entry as `GET /v1/entries` names it.
struct ListedEntry
{
    std::string id_;
    std::string address_;
    std::string zone_;
    double weight_ = 1.0;

    static constexpr auto fields()
    {
        return std::tuple{field("id", &ListedEntry::id_), field("address", &ListedEntry::address_),
                          field("zone", &ListedEntry::zone_),
                          optionalField("weight", &ListedEntry::weight_)};
    }
};

/// The answer of `GET /v1/entries`.
struct EntryList
{
    std::vector<ListedEntry> entries_;
    std::uint32_t keepMs_ = 0;

    static constexpr auto fields()
    {
        return std::tuple{field("entries", &EntryList::entries_),
                          field("keepMs", &EntryList::keepMs_)};
    }
};

auto takeByWeight(std::vector<ListedEntry> &entries, const RandomSource &random) -> std::string
{
    auto total = 0.0;
    for (const auto &entry : entries)
        total += entry.weight_;
    constexpr auto randomRange = 18446744073709551616.0;
    auto point = static_cast<double>(random()) / randomRange * total;
    auto chosen = entries.begin();
    while (std::next(chosen) != entries.end() && point >= chosen->weight_) {
        point -= chosen->weight_;
        ++chosen;
    }
    auto address = chosen->address_;
    entries.erase(chosen);
    return address;
}

auto retryAfter(const HttpResponse &response) -> std::optional<Duration>
{
    const auto text = response.headers_.value("X-Retry-After-Ms");
    auto milliseconds = std::uint32_t{0};
    const auto *const end = text.data() + text.size();
    if (std::from_chars(text.data(), end, milliseconds).ptr != end || text.empty())
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

/// Whether another attempt may bring another answer and does no harm.
auto mayTryAgain(const HttpResponse &response, const OutgoingRequest &outgoing) -> bool
{
    constexpr auto passing = std::to_array<std::uint16_t>({429, 502, 503, 504});
    constexpr auto conflict = 409;
    if (response.status_ == conflict)
        return retryAfter(response).has_value();
    if (std::find(passing.begin(), passing.end(), response.status_) == passing.end())
        return false;
    return outgoing.repeatable_ || problemVerdict(response) == Verdict::NotRun;
}

} // namespace

RequestSender::RequestSender(EntryCaller &caller, Attempt attempt)
    : caller_(caller)
    , attempt_(std::move(attempt))
{ }

auto RequestSender::chooseEntries() -> Result<std::vector<std::string>>
{
    const auto response = caller_.get("/v1/entries");
    if (!response)
        return response.failure();
    if (response->status_ >= success)
        return Failure{Error::UpstreamRefused, problemText(*response)};
    auto list = decodeText<EntryList>(response->body_, "entries");
    if (!list)
        return list.failure();
    auto addresses = std::vector<std::string>{};
    while (!list.value().entries_.empty())
        addresses.push_back(takeByWeight(list.value().entries_, caller_.hooks().random_));
    if (addresses.empty())
        return Failure{Error::NotFound, "no entry takes requests now"};
    return addresses;
}

auto RequestSender::attemptAt(const std::string &address, const OutgoingRequest &outgoing)
    -> Result<HttpResponse>
{
    auto call = HttpCall{};
    call.address_ = address;
    call.request_ = outgoing.request_;
    call.request_.headers_.add("X-Request-Id", outgoing.requestId_);
    call.firstByteTimeout_ = outgoing.timeLimit_;
    call.freshConnection_ = !outgoing.repeatable_;
    auto response = attempt_(std::move(call));
    if (!response)
        return response;
    const auto answered = response->headers_.value("X-Request-Id", outgoing.requestId_);
    if (answered == outgoing.requestId_ || answered.starts_with(outgoing.requestId_ + "."))
        return response;
    return Failure{Error::WrongAnswer, address + ": the answer is for request " + answered,
                   Verdict::MayHaveRun};
}

auto RequestSender::send(const OutgoingRequest &outgoing) -> Result<SentAnswer>
{
    const auto &hooks = caller_.hooks();
    const auto deadline = hooks.clock_() + outgoing.timeLimit_;
    auto backoff = firstBackoff;
    auto verdict = Verdict::NotRun;
    while (true) {
        const auto addresses = chooseEntries();
        auto last = addresses ? Failure{} : addresses.failure();
        auto pause = backoff;
        for (const auto &address : addresses ? *addresses : std::vector<std::string>{}) {
            const auto response = attemptAt(address, outgoing);
            if (response && !mayTryAgain(*response, outgoing))
                return SentAnswer{*response, address};
            last = response ? Failure{Error::Overloaded, address + ": " + problemText(*response),
                                      problemVerdict(*response)}
                            : response.failure();
            verdict = combine(verdict, last.verdict_);
            if (!response && last.verdict_ != Verdict::NotRun && !outgoing.repeatable_)
                return last;
            if (response)
                pause = std::max(pause, retryAfter(*response).value_or(backoff));
        }
        last.verdict_ = verdict;
        if (hooks.clock_() + pause >= deadline)
            return last;
        hooks.sleep_(pause);
        backoff = std::min(backoff * 2, longestBackoff);
    }
}

} // namespace lycheereach
