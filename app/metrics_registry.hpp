#pragma once

// The program's metrics, shown at /metrics in Prometheus' text form.
//
//     counter& refused = metrics.get_counter({"camphorrock_refused_total", "requests
//     ..."},
//                                            {{"service", name}, {"class", "short"}});
//     refused.add();
//
// Look a series up once and keep the reference: it lives as long as the registry. A
// family (all series of one name) has a budget of label sets; beyond it, new label sets
// share one row whose label values are all "other", so callers cannot exhaust the memory.

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
    std::size_t max_series_per_family = 256; // beyond it: the "other" row
    latency_buckets buckets;
};

class metrics_registry
{
public:
    explicit metrics_registry(metrics_options options = {});
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    ~metrics_registry();

    // O(log n) in the family's series. A name used with two kinds is a broken invariant.
    counter& get_counter(const metric_name& name, metric_labels labels = {});
    gauge& get_gauge(const metric_name& name, metric_labels labels = {});
    latency_histogram& get_histogram(const metric_name& name, metric_labels labels = {});

    // Adds a function that is called before each export, to set gauges.
    void before_export(std::function<void()> what);

    // All families in the order of their names.
    std::string to_prometheus_text() const;

private:
    struct family;
    struct series;
    series& find(const metric_name& name, const char* kind, metric_labels labels);

    metrics_options options_;
    std::map<std::string, std::unique_ptr<family>> families_;
    std::vector<std::function<void()>> exporters_;
};

} // namespace camphorrock
