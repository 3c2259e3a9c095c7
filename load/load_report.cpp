#include "load/load_report.hpp"

#include "codec/json_text.hpp"

#include <json/value.h>

#include <cmath>
#include <cstdio>

namespace camphorrock
{
namespace
{

constexpr double microseconds_per_millisecond = 1000;

// The upper bound of each bucket is 2.3% above its lower bound, so quantiles are accurate
// to 2.3%.
constexpr latency_buckets latency_bucket_layout{microseconds(100), seconds(1000), 700};

struct named_quantile
{
    const char* name;
    double fraction;
};

constexpr named_quantile quantiles[] = {
    {"p50_ms", 0.5}, {"p90_ms", 0.9}, {"p99_ms", 0.99}, {"max_ms", 1}};

double to_milliseconds(duration value)
{
    return static_cast<double>(value.count()) / microseconds_per_millisecond;
}

// Returns the smallest value that is not exceeded by the given fraction of the values.
// `ascending` must not be empty.
duration quantile(const std::vector<duration>& ascending, double fraction)
{
    auto rank = static_cast<std::size_t>(std::ceil(fraction * ascending.size()));
    return ascending[rank == 0 ? 0 : rank - 1];
}

Json::Value to_json_value(const latency_histogram& values)
{
    Json::Value out;
    out["count"] = Json::UInt64(values.count());
    for (const named_quantile& it : quantiles)
    {
        out[it.name] = to_milliseconds(values.quantile(it.fraction));
    }
    return out;
}

Json::Value to_json_value(const load_class& row, const class_stats& stats)
{
    Json::Value out;
    out["caller"] = row.caller;
    out["class"] = row.name;
    out["requests"] = Json::UInt64(stats.requests);
    out["served"] = Json::UInt64(stats.served);
    out["attempts"] = Json::UInt64(stats.attempts);
    out["ran"] = Json::UInt64(stats.ran);
    out["not_run"] = Json::UInt64(stats.not_run);
    out["unknown"] = Json::UInt64(stats.unknown);
    out["no_answer"] = Json::UInt64(stats.no_answer);
    out["latency"] = to_json_value(stats.latency);
    out["refusal_time"] = to_json_value(stats.refusal_time);
    return out;
}

std::string to_text_line(const load_class& row, const class_stats& stats)
{
    char buf[256];
    std::snprintf(buf,
                  sizeof buf,
                  "%-16s %-12s %9llu %9llu %9llu %8llu %8llu %8llu %9.1f %9.1f %9.1f "
                  "%9.1f\n",
                  row.caller.substr(0, 16).c_str(),
                  row.name.c_str(),
                  static_cast<unsigned long long>(stats.requests),
                  static_cast<unsigned long long>(stats.served),
                  static_cast<unsigned long long>(stats.attempts),
                  static_cast<unsigned long long>(stats.not_run),
                  static_cast<unsigned long long>(stats.unknown),
                  static_cast<unsigned long long>(stats.no_answer),
                  to_milliseconds(stats.latency.quantile(0.5)),
                  to_milliseconds(stats.latency.quantile(0.9)),
                  to_milliseconds(stats.latency.quantile(0.99)),
                  to_milliseconds(stats.latency.max()));
    return buf;
}

} // namespace

class_stats::class_stats()
    : latency(latency_bucket_layout), refusal_time(latency_bucket_layout)
{
}

void class_stats::count_attempt(std::optional<outcome> reported, duration time_taken)
{
    ++attempts;
    if (!reported)
    {
        ++no_answer;
        return;
    }
    ran += *reported == outcome::ran;
    not_run += *reported == outcome::not_run;
    unknown += *reported == outcome::unknown;
    if (*reported == outcome::not_run)
    {
        refusal_time.record(time_taken);
    }
}

std::string load_report::to_text() const
{
    std::string out =
        "caller           class         requests    served  attempts  not-run  unknown "
        "no-answ.    p50 ms    p90 ms    p99 ms    max ms\n";
    for (const auto& [row, stats] : rows_)
    {
        out += to_text_line(row, stats);
    }
    for (const auto& [type, count] : problems_)
    {
        out += "problem " + type + ": " + std::to_string(count) + "\n";
    }
    char buf[160];
    std::snprintf(buf,
                  sizeof buf,
                  "not sent (too many in flight): %llu\n",
                  static_cast<unsigned long long>(skipped_));
    out += buf;
    if (!longest_outages_.empty())
    {
        std::snprintf(buf,
                      sizeof buf,
                      "unavailable ms per key (%zu keys): p50 %.1f, p99 %.1f, max %.1f\n",
                      longest_outages_.size(),
                      to_milliseconds(quantile(longest_outages_, 0.5)),
                      to_milliseconds(quantile(longest_outages_, 0.99)),
                      to_milliseconds(longest_outages_.back()));
        out += buf;
    }
    return out;
}

std::string load_report::to_json() const
{
    Json::Value out;
    out["classes"] = Json::Value(Json::arrayValue);
    for (const auto& [row, stats] : rows_)
    {
        out["classes"].append(to_json_value(row, stats));
    }
    out["problems"] = Json::Value(Json::objectValue);
    for (const auto& [type, count] : problems_)
    {
        out["problems"][type] = Json::UInt64(count);
    }
    out["skipped"] = Json::UInt64(skipped_);
    Json::Value& unavailable = out["unavailable"] = Json::Value(Json::objectValue);
    unavailable["keys"] = Json::UInt64(longest_outages_.size());
    for (const named_quantile& it : quantiles)
    {
        bool has_values = !longest_outages_.empty();
        unavailable[it.name] =
            has_values ? to_milliseconds(quantile(longest_outages_, it.fraction))
                       : Json::Value();
    }
    return write_json(out);
}

} // namespace camphorrock
