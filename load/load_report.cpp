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

// Buckets of 2.3%, so that quantiles are that exact.
constexpr latency_buckets fine_buckets{microseconds(100), seconds(1000), 700};

struct named_quantile
{
    const char* name;
    double share;
};

constexpr named_quantile quantiles[] = {
    {"p50_ms", 0.5}, {"p90_ms", 0.9}, {"p99_ms", 0.99}, {"max_ms", 1}};

double to_ms(duration value)
{
    return static_cast<double>(value.count()) / microseconds_per_millisecond;
}

// The smallest value that the given share of the sorted values does not exceed.
duration quantile(const std::vector<duration>& ascending, double share)
{
    auto rank = static_cast<std::size_t>(std::ceil(share * ascending.size()));
    return ascending[rank == 0 ? 0 : rank - 1];
}

Json::Value to_json_value(const latency_histogram& values)
{
    Json::Value out;
    out["count"] = Json::UInt64(values.count());
    for (const named_quantile& it : quantiles)
    {
        out[it.name] = to_ms(values.quantile(it.share));
    }
    return out;
}

Json::Value to_json_value(const load_class& row, const class_figures& figures)
{
    Json::Value out;
    out["caller"] = row.caller;
    out["class"] = row.name;
    out["requests"] = Json::UInt64(figures.requests);
    out["served"] = Json::UInt64(figures.served);
    out["attempts"] = Json::UInt64(figures.attempts);
    out["ran"] = Json::UInt64(figures.ran);
    out["not_run"] = Json::UInt64(figures.not_run);
    out["unknown"] = Json::UInt64(figures.unknown);
    out["no_answer"] = Json::UInt64(figures.no_answer);
    out["latency"] = to_json_value(figures.latency);
    out["refusal_time"] = to_json_value(figures.refusal_time);
    return out;
}

std::string to_text_line(const load_class& row, const class_figures& figures)
{
    char buf[256];
    std::snprintf(buf,
                  sizeof buf,
                  "%-16s %-12s %9llu %9llu %9llu %8llu %8llu %8llu %9.1f %9.1f %9.1f "
                  "%9.1f\n",
                  row.caller.substr(0, 16).c_str(),
                  row.name.c_str(),
                  static_cast<unsigned long long>(figures.requests),
                  static_cast<unsigned long long>(figures.served),
                  static_cast<unsigned long long>(figures.attempts),
                  static_cast<unsigned long long>(figures.not_run),
                  static_cast<unsigned long long>(figures.unknown),
                  static_cast<unsigned long long>(figures.no_answer),
                  to_ms(figures.latency.quantile(0.5)),
                  to_ms(figures.latency.quantile(0.9)),
                  to_ms(figures.latency.quantile(0.99)),
                  to_ms(figures.latency.max()));
    return buf;
}

} // namespace

class_figures::class_figures() : latency(fine_buckets), refusal_time(fine_buckets) {}

void class_figures::count_attempt(std::optional<outcome> told, duration taken)
{
    ++attempts;
    if (!told)
    {
        ++no_answer;
        return;
    }
    ran += *told == outcome::ran;
    not_run += *told == outcome::not_run;
    unknown += *told == outcome::unknown;
    if (*told == outcome::not_run)
    {
        refusal_time.record(taken);
    }
}

std::string load_report::to_text() const
{
    std::string out =
        "caller           class         requests    served  attempts  not-run  unknown "
        "no-answ.    p50 ms    p90 ms    p99 ms    max ms\n";
    for (const auto& [row, figures] : rows_)
    {
        out += to_text_line(row, figures);
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
    if (!unavailable_.empty())
    {
        std::snprintf(buf,
                      sizeof buf,
                      "unavailable ms per key (%zu keys): p50 %.1f, p99 %.1f, max %.1f\n",
                      unavailable_.size(),
                      to_ms(quantile(unavailable_, 0.5)),
                      to_ms(quantile(unavailable_, 0.99)),
                      to_ms(unavailable_.back()));
        out += buf;
    }
    return out;
}

std::string load_report::to_json() const
{
    Json::Value out;
    out["classes"] = Json::Value(Json::arrayValue);
    for (const auto& [row, figures] : rows_)
    {
        out["classes"].append(to_json_value(row, figures));
    }
    out["problems"] = Json::Value(Json::objectValue);
    for (const auto& [type, count] : problems_)
    {
        out["problems"][type] = Json::UInt64(count);
    }
    out["skipped"] = Json::UInt64(skipped_);
    Json::Value& unavailable = out["unavailable"] = Json::Value(Json::objectValue);
    unavailable["keys"] = Json::UInt64(unavailable_.size());
    for (const named_quantile& it : quantiles)
    {
        bool is_known = !unavailable_.empty();
        unavailable[it.name] =
            is_known ? to_ms(quantile(unavailable_, it.share)) : Json::Value();
    }
    return write_json(out);
}

} // namespace camphorrock
