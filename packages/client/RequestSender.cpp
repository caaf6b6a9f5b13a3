#include "client/RequestSender.h"

#include "client/Problem.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <utility>

namespace lycheereach {

namespace {

constexpr auto firstNonSuccessStatus = 300;
constexpr auto initialBackoff = Duration(std::chrono::milliseconds(50));
constexpr auto maxBackoff = Duration(std::chrono::seconds(2));

/// One element of the response to `GET /v1/entries`.
struct ListedEntry
{
    std::string id_;
    std::string address_;
    std::string zone_;
    /// Relative share of requests that callers send to this entry.
    double weight_ = 1.0;

    static constexpr auto fields()
    {
        return std::tuple{field("id", &ListedEntry::id_), field("address", &ListedEntry::address_),
                          field("zone", &ListedEntry::zone_),
                          optionalField("weight", &ListedEntry::weight_)};
    }
};

/// The response to `GET /v1/entries`.
struct EntryList
{
    std::vector<ListedEntry> entries_;
    /// How long a caller may cache the list.
    std::uint32_t keepMs_ = 0;

    static constexpr auto fields()
    {
        return std::tuple{field("entries", &EntryList::entries_),
                          field("keepMs", &EntryList::keepMs_)};
    }
};

/// Removes a random entry, chosen with probability proportional to its weight.
auto takeRandomByWeight(std::vector<ListedEntry> &entries, const RandomSource &random)
    -> std::string
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

auto parseRetryAfter(const HttpResponse &response) -> std::optional<Duration>
{
    const auto text = response.headers_.value("X-Retry-After-Ms");
    auto milliseconds = std::uint32_t{0};
    const auto *const end = text.data() + text.size();
    if (std::from_chars(text.data(), end, milliseconds).ptr != end || text.empty())
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

/// Whether the failure may be transient and it is safe to send the request again.
auto isRetryable(const HttpResponse &response, const OutgoingRequest &outgoing) -> bool
{
    constexpr auto transientStatuses = std::to_array<std::uint16_t>({429, 502, 503, 504});
    constexpr auto conflictStatus = 409;
    if (response.status_ == conflictStatus)
        return parseRetryAfter(response).has_value();
    if (std::find(transientStatuses.begin(), transientStatuses.end(), response.status_)
        == transientStatuses.end())
        return false;
    return outgoing.repeatable_ || problemVerdict(response) == Verdict::NotRun;
}

} // namespace

RequestSender::RequestSender(EntryCaller &caller, AttemptFunction attempt)
    : caller_(caller)
    , attempt_(std::move(attempt))
{ }

auto RequestSender::fetchShuffledEntries() -> Result<std::vector<std::string>>
{
    const auto response = caller_.getFromAny("/v1/entries");
    if (!response)
        return response.failure();
    if (response->status_ >= firstNonSuccessStatus)
        return Failure{Error::UpstreamRefused, problemText(*response)};
    auto entryList = decodeText<EntryList>(response->body_, "entries");
    if (!entryList)
        return entryList.failure();
    auto addresses = std::vector<std::string>{};
    while (!entryList.value().entries_.empty())
        addresses.push_back(
            takeRandomByWeight(entryList.value().entries_, caller_.hooks().random_));
    if (addresses.empty())
        return Failure{Error::NotFound, "no entry takes requests now"};
    return addresses;
}

auto RequestSender::attemptAtEntry(const std::string &address, const OutgoingRequest &outgoing)
    -> Result<HttpResponse>
{
    auto call = HttpCall{};
    call.address_ = address;
    call.request_ = outgoing.request_;
    call.request_.headers_.add("X-Request-Id", outgoing.requestId_);
    call.firstByteTimeout_ = outgoing.timeout_;
    call.freshConnection_ = !outgoing.repeatable_;
    auto response = attempt_(std::move(call));
    if (!response)
        return response;
    const auto answeredId = response->headers_.value("X-Request-Id", outgoing.requestId_);
    if (answeredId == outgoing.requestId_ || answeredId.starts_with(outgoing.requestId_ + "."))
        return response;
    return Failure{Error::WrongAnswer, address + ": the answer is for request " + answeredId,
                   Verdict::MayHaveRun};
}

auto RequestSender::send(const OutgoingRequest &outgoing) -> Result<EntryResponse>
{
    const auto &hooks = caller_.hooks();
    const auto deadline = hooks.clock_() + outgoing.timeout_;
    auto backoff = initialBackoff;
    auto verdict = Verdict::NotRun;
    while (true) {
        const auto addresses = fetchShuffledEntries();
        auto lastFailure = addresses ? Failure{} : addresses.failure();
        auto retryDelay = backoff;
        for (const auto &address : addresses ? *addresses : std::vector<std::string>{}) {
            const auto response = attemptAtEntry(address, outgoing);
            if (response && !isRetryable(*response, outgoing))
                return EntryResponse{*response, address};
            lastFailure = response
                ? Failure{Error::Overloaded, address + ": " + problemText(*response),
                          problemVerdict(*response)}
                : response.failure();
            verdict = combine(verdict, lastFailure.verdict_);
            if (!response && lastFailure.verdict_ != Verdict::NotRun && !outgoing.repeatable_)
                return lastFailure;
            if (response)
                retryDelay = std::max(retryDelay, parseRetryAfter(*response).value_or(backoff));
        }
        lastFailure.verdict_ = verdict;
        if (hooks.clock_() + retryDelay >= deadline)
            return lastFailure;
        hooks.sleep_(retryDelay);
        backoff = std::min(backoff * 2, maxBackoff);
    }
}

} // namespace lycheereach
