#include "app/metrics_registry.hpp"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <string_view>

namespace camphorrock
{

struct metrics_registry::series
{
    counter count;
    gauge level;
    std::optional<latency_histogram> latency;
};

struct metrics_registry::family
{
    std::string help;
    const char* kind;
    std::map<metric_labels, series> rows;
};

namespace
{

constexpr double microseconds_per_second = 1e6;
constexpr const char* overflow_label_value = "other";

std::string format_number(double value)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.9g", value);
    return buf;
}

std::string format_seconds(duration value)
{
    return format_number(static_cast<double>(value.count()) / microseconds_per_second);
}

std::string escape(std::string_view text)
{
    std::string out;
    for (char c : text)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
        {
            out += '\\';
        }
        out += c;
    }
    return out;
}

// Formats {a="1",b="2"}; empty without labels.
std::string format_labels(const metric_labels& labels)
{
    std::string text;
    for (const metric_label& it : labels)
    {
        text += text.empty() ? "{" : ",";
        text += it.name + "=\"" + escape(it.value) + "\"";
    }
    return text.empty() ? text : text + "}";
}

metric_labels with_label(metric_labels labels, std::string name, std::string value)
{
    labels.push_back({std::move(name), std::move(value)});
    return labels;
}

void append_line(std::string& out,
                 const std::string& name,
                 const metric_labels& labels,
                 const std::string& value)
{
    out += name + format_labels(labels) + " " + value + "\n";
}

void append_histogram(std::string& out,
                      const std::string& name,
                      const metric_labels& labels,
                      const latency_histogram& values)
{
    for (const cumulative_count& it : values.cumulative_counts())
    {
        append_line(out,
                    name + "_bucket",
                    with_label(labels, "le", format_seconds(it.upper)),
                    std::to_string(it.count));
    }
    std::string count = std::to_string(values.count());
    append_line(out, name + "_bucket", with_label(labels, "le", "+Inf"), count);
    append_line(out, name + "_sum", labels, format_seconds(values.sum()));
    append_line(out, name + "_count", labels, count);
}

} // namespace

metrics_registry::metrics_registry(metrics_options options) : options_(options) {}

metrics_registry::~metrics_registry() = default;

metrics_registry::series& metrics_registry::find_or_add(const metric_name& name,
                                                        const char* kind,
                                                        metric_labels labels)
{
    std::unique_ptr<family>& found = families_[name.name];
    if (!found)
    {
        found = std::make_unique<family>(family{name.help, kind, {}});
    }
    if (std::strcmp(found->kind, kind) != 0)
    {
        std::abort();
    }
    bool is_new = found->rows.find(labels) == found->rows.end();
    if (is_new && found->rows.size() >= options_.max_series_per_family)
    {
        for (metric_label& it : labels)
        {
            it.value = overflow_label_value;
        }
    }
    return found->rows[std::move(labels)];
}

counter& metrics_registry::get_counter(const metric_name& name, metric_labels labels)
{
    return find_or_add(name, "counter", std::move(labels)).count;
}

gauge& metrics_registry::get_gauge(const metric_name& name, metric_labels labels)
{
    return find_or_add(name, "gauge", std::move(labels)).level;
}

latency_histogram& metrics_registry::get_histogram(const metric_name& name,
                                                   metric_labels labels)
{
    series& row = find_or_add(name, "histogram", std::move(labels));
    if (!row.latency)
    {
        row.latency.emplace(options_.buckets);
    }
    return *row.latency;
}

void metrics_registry::before_export(std::function<void()> callback)
{
    export_callbacks_.push_back(std::move(callback));
}

std::string metrics_registry::to_prometheus_text() const
{
    for (const std::function<void()>& it : export_callbacks_)
    {
        it();
    }
    std::string out;
    for (const auto& [name, one] : families_)
    {
        out += "# HELP " + name + " " + escape(one->help) + "\n";
        out += "# TYPE " + name + " " + one->kind + "\n";
        for (const auto& [labels, row] : one->rows)
        {
            if (row.latency)
            {
                append_histogram(out, name, labels, *row.latency);
                continue;
            }
            bool is_counter = std::strcmp(one->kind, "counter") == 0;
            append_line(out,
                        name,
                        labels,
                        is_counter ? std::to_string(row.count.value())
                                   : format_number(row.level.value()));
        }
    }
    return out;
}

} // namespace camphorrock
