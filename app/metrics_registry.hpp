#pragma once

// The program's metrics, exported at /metrics in the Prometheus text format.
//
//     counter& refused = metrics.get_counter({"camphorrock_refused_total", "requests
//     ..."},
//                                            {{"service", name}, {"class", "short"}});
//     refused.add();
//
// Look up a series once and keep the reference, which is valid as long as the registry. A
// family (all series of one name) has a limited number of label sets. Beyond the limit,
// new label sets share one series whose label values are all "other", so that callers
// cannot exhaust the memory.

#include "app/latency_histogram.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorrock
{

class counter
{
public:
    void add(std::uint64_t n = 1)
    {
        value_ += n;
    }

    std::uint64_t value() const
    {
        return value_;
    }

private:
    std::uint64_t value_ = 0;
};

class gauge
{
public:
    void set(double value)
    {
        value_ = value;
    }

    double value() const
    {
        return value_;
    }

private:
    double value_ = 0;
};

struct metric_label
{
    std::string name;
    std::string value;

    auto operator<=>(const metric_label&) const = default;
};

using metric_labels = std::vector<metric_label>;

// The name and meaning of a family. The first use of a name fixes its meaning and kind.
struct metric_name
{
    std::string name; // [a-z_]+; counters end in _total, histograms in _seconds
    std::string help;
};

struct metrics_options
{
    std::size_t max_series_per_family = 256; // beyond it: series "other"
    latency_buckets buckets;
};

class metrics_registry
{
public:
    explicit metrics_registry(metrics_options options = {});
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    ~metrics_registry();

    // Find a series, or create it. O(log n) in the family's series. Abort if a name is
    // used with two kinds of metric.
    counter& get_counter(const metric_name& name, metric_labels labels = {});
    gauge& get_gauge(const metric_name& name, metric_labels labels = {});
    latency_histogram& get_histogram(const metric_name& name, metric_labels labels = {});

    // Adds a function that is called before each export, for example to set gauges.
    void before_export(std::function<void()> callback);

    // All families in the order of their names.
    std::string to_prometheus_text() const;

private:
    struct family;
    struct series;
    series& find_or_add(const metric_name& name, const char* kind, metric_labels labels);

    metrics_options options_;
    std::map<std::string, std::unique_ptr<family>> families_;
    std::vector<std::function<void()>> export_callbacks_;
};

} // namespace camphorrock
