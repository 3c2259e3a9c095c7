#include "load/load_settings.hpp"

namespace camphorrock
{
namespace
{

constexpr integer_range any_count_range{0, 1'000'000'000};
constexpr integer_range positive_count_range{1, 1'000'000'000};
constexpr number_range rate_range{0, 1e6};
constexpr number_range share_range{0, 1};
constexpr number_range exponent_range{0, 5};
constexpr duration_range any_time_range{duration(0), seconds(86400)};
constexpr duration_range positive_time_range{milliseconds(1), seconds(86400)};
constexpr double default_rate = 100;

std::uint64_t count_or(settings_map& from,
                       const char* key,
                       integer_range allowed,
                       std::uint64_t fallback)
{
    return static_cast<std::uint64_t>(
        from.integer_or(key, allowed, static_cast<std::int64_t>(fallback)));
}

std::vector<rate_step> read_rates(settings_map& from)
{
    std::vector<rate_step> rates{
        {duration(0), from.number_or("rate", rate_range, default_rate)}};
    for (settings_map& it : from.maps("swings"))
    {
        rate_step step;
        step.at = it.milliseconds_or("at_ms", any_time_range, duration(0));
        step.rate = it.number_or("rate", rate_range, default_rate);
        if (step.at <= rates.back().at)
        {
            it.add_fault("at_ms", "must be later than the previous step");
        }
        rates.push_back(step);
    }
    return rates;
}

key_settings read_keys(settings_map from)
{
    key_settings keys;
    keys.count = count_or(from, "count", {1, 1'000'000}, keys.count);
    keys.zipf = from.number_or("zipf", exponent_range, keys.zipf);
    keys.hot_key_period =
        from.milliseconds_or("hot_key_period_ms", any_time_range, keys.hot_key_period);
    return keys;
}

retry_settings read_retry(settings_map from)
{
    retry_settings retry;
    retry.retries = count_or(from, "retries", any_count_range, retry.retries);
    retry.delay = from.milliseconds_or("delay_ms", any_time_range, retry.delay);
    retry.honours_retry_after =
        from.flag_or("honours_retry_after", retry.honours_retry_after);
    return retry;
}

duplicate_settings read_duplicates(settings_map from)
{
    duplicate_settings out;
    out.share = from.number_or("share", share_range, out.share);
    out.copies = count_or(from, "copies", {2, 16}, out.copies);
    out.late_share = from.number_or("late_share", share_range, out.late_share);
    out.late_delay =
        from.milliseconds_or("late_delay_ms", positive_time_range, out.late_delay);
    return out;
}

caller_settings read_caller(settings_map& from)
{
    caller_settings caller;
    caller.name = from.require_text("name");
    caller.service = service_name(from.require_text("service"));
    caller.routers = from.endpoints("routers");
    caller.rates = read_rates(from);
    caller.keys = read_keys(from.map("keys"));
    caller.write_share = from.number_or("write_share", share_range, caller.write_share);
    caller.long_share = from.number_or("long_share", share_range, caller.long_share);
    caller.timeout =
        from.milliseconds_or("timeout_ms", positive_time_range, caller.timeout);
    caller.retry = read_retry(from.map("retry"));
    caller.duplicates = read_duplicates(from.map("duplicates"));
    return caller;
}

probe_settings read_probe(settings_map& from)
{
    probe_settings probe;
    probe.service = service_name(from.require_text("service"));
    probe.keys = count_or(from, "keys", {1, 10'000}, probe.keys);
    probe.period = from.milliseconds_or("period_ms", positive_time_range, probe.period);
    probe.timeout =
        from.milliseconds_or("timeout_ms", positive_time_range, probe.timeout);
    return probe;
}

} // namespace

load_settings read_load_settings(settings_map root)
{
    load_settings out;
    out.seed = count_or(root, "seed", any_count_range, out.seed);
    out.length = root.milliseconds_or("length_ms", positive_time_range, out.length);
    out.drain = root.milliseconds_or("drain_ms", any_time_range, out.drain);
    out.timeout_margin =
        root.milliseconds_or("patience_ms", any_time_range, out.timeout_margin);
    out.max_in_flight =
        count_or(root, "max_in_flight", positive_count_range, out.max_in_flight);
    out.connections_per_router =
        root.integer_or("connections_per_router", {1, 4096}, out.connections_per_router);
    out.routers = root.endpoints("routers");
    out.eject_time = root.milliseconds_or("eject_ms", any_time_range, out.eject_time);
    out.history = root.text_or("history", "");
    for (settings_map& it : root.maps("callers"))
    {
        out.callers.push_back(read_caller(it));
    }
    for (settings_map& it : root.maps("probes"))
    {
        out.probes.push_back(read_probe(it));
    }
    if (out.routers.empty())
    {
        root.add_fault("routers", "must name at least one router");
    }
    if (out.callers.empty() && out.probes.empty())
    {
        root.add_fault("callers", "at least one caller or probe is required");
    }
    return out;
}

} // namespace camphorrock
