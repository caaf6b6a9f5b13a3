#include "gateway/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace lycheereach {

namespace {

/// Upper bounds.
const auto durationBucketsSeconds = prometheus::Histogram::BucketBoundaries{
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

} // namespace

class Metrics::Impl
{
public:
    explicit Impl(const std::string &entry)
        : labels_({{"entry", entry}})
        , requests_(prometheus::BuildCounter()
                        .Name("lycheereach_requests_total")
                        .Help("Requests ended, by verdict")
                        .Labels(labels_)
                        .Register(registry_))
        , attempts_(prometheus::BuildCounter()
                        .Name("lycheereach_attempts_total")
                        .Help("Attempts sent to upstreams")
                        .Labels(labels_)
                        .Register(registry_)
                        .Add({}))
        , durations_(prometheus::BuildHistogram()
                         .Name("lycheereach_request_seconds")
                         .Help("Time from arrival to the end of the answer")
                         .Labels(labels_)
                         .Register(registry_)
                         .Add({}, durationBucketsSeconds))
    { }

    prometheus::Registry registry_;
    std::map<std::string, std::string> labels_;
    prometheus::Family<prometheus::Counter> &requests_;
    prometheus::Counter &attempts_;
    prometheus::Histogram &durations_;
};

Metrics::Metrics(const std::string &entry)
    : impl_(std::make_unique<Impl>(entry))
{ }

Metrics::~Metrics() = default;

auto Metrics::requestEnded(Verdict verdict, Duration duration) -> void
{
    impl_->requests_.Add({{"verdict", std::string(toString(verdict))}}).Increment();
    impl_->durations_.Observe(std::chrono::duration<double>(duration).count());
}

auto Metrics::attemptStarted() -> void
{
    impl_->attempts_.Increment();
}

auto Metrics::setGauge(const std::string &name, const std::string &help, double value) -> void
{
    auto &family = prometheus::BuildGauge()
                       .Name(name)
                       .Help(help)
                       .Labels(impl_->labels_)
                       .Register(impl_->registry_);
    family.Add({}).Set(value);
}

auto Metrics::serialize() const -> std::string
{
    return prometheus::TextSerializer().Serialize(impl_->registry_.Collect());
}

} // namespace lycheereach
