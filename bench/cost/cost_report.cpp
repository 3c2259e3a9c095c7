#include "bench/cost/cost_report.hpp"

#include "core/admission/retry_budget.hpp"
#include "core/admission/server_queue.hpp"
#include "core/balance/balance_schedule.hpp"
#include "core/balance/partition_load.hpp"

#include <malloc.h>

#include <chrono>
#include <limits>
#include <random>

namespace camphorrock
{
namespace
{

using wall_clock = std::chrono::steady_clock;

constexpr std::size_t iterations = 200'000;
constexpr std::size_t servers_per_shard = 64;

double ns_since(wall_clock::time_point start)
{
    const std::chrono::duration<double, std::nano> passed = wall_clock::now() - start;
    return passed.count();
}

// Bytes that the allocator reports as allocated, large mapped blocks included.
double bytes_in_use()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

std::vector<caller_name> make_caller_names(std::size_t n)
{
    std::vector<caller_name> names;
    for (std::size_t i = 0; i < n; ++i)
    {
        names.emplace_back("partner-" + std::to_string(i));
    }
    return names;
}

std::vector<hash_range> even_ranges(std::size_t n)
{
    std::vector<hash_range> ranges;
    const std::uint64_t width = std::numeric_limits<std::uint64_t>::max() / n;
    for (std::size_t i = 0; i < n; ++i)
    {
        const key_hash last{i + 1 == n ? hash_range{}.last.value : (i + 1) * width - 1};
        ranges.push_back({key_hash{i * width}, last});
    }
    return ranges;
}

// Measures a queue in which `waiting` requests wait. In each iteration one request
// finishes, one arrives and one starts.
report_row queue_row(std::size_t waiting, std::size_t caller_count)
{
    std::mt19937_64 random(1);
    server_queue_options options;
    options.max_waiting = 2 * waiting + 16;
    const double empty_bytes = bytes_in_use();
    const auto queue = server_queue::create(options, random).value();
    const std::vector<caller_name> names = make_caller_names(caller_count);
    const route_class route("GET /diary");
    time_point now;
    std::uint64_t next = 0;
    std::vector<ticket> running;
    queue_actions out;
    const auto arrive = [&]
    {
        const ticket id{next++};
        queue->arrive(
            {id, names[id.value % caller_count], route, now + seconds(600), true},
            now,
            out);
    };
    const auto finish = [&]
    {
        queue->finished(running.back(), {answer_kind::good, milliseconds(10)}, now, out);
        running.pop_back();
    };
    const auto collect_started = [&]
    {
        for (const queue_action& it : out)
        {
            if (const auto* start = std::get_if<start_request>(&it))
            {
                running.push_back(start->id);
            }
        }
        out.clear();
    };
    for (std::size_t i = 0; i < caller_count * 4 + 1000; ++i)
    {
        arrive();
        collect_started();
        now += milliseconds(10);
        finish();
        collect_started();
    }
    const double learned_bytes = bytes_in_use();
    for (std::size_t i = 0; i < waiting + options.slots; ++i)
    {
        arrive();
        collect_started();
    }
    const double filled_bytes = bytes_in_use();
    const auto start = wall_clock::now();
    for (std::size_t i = 0; i < iterations; ++i)
    {
        now += milliseconds(3);
        finish();
        arrive();
        collect_started();
    }
    const double ns = ns_since(start) / static_cast<double>(iterations);
    const double bytes_per_waiting =
        waiting > 0 ? (filled_bytes - learned_bytes) / static_cast<double>(waiting) : 0;
    return {std::to_string(waiting) + " waiting, " + std::to_string(caller_count) +
                " callers",
            {ns,
             bytes_per_waiting,
             (learned_bytes - empty_bytes) / static_cast<double>(caller_count),
             static_cast<double>(queue->waiting())}};
}

report_table queue_costs()
{
    report_table table{
        "cost of server_queue, one arrival and one end",
        "size",
        {{"ns"}, {"bytes/waiting", 0}, {"bytes/caller", 0}, {"waiting at end", 0}},
        {}};
    for (const std::size_t waiting : {0, 30, 300})
    {
        for (const std::size_t caller_count : {20, 200, 2000})
        {
            table.rows.push_back(queue_row(waiting, caller_count));
        }
    }
    return table;
}

report_row load_row(std::size_t partitions)
{
    std::mt19937_64 random(1);
    const std::vector<hash_range> ranges = even_ranges(partitions);
    time_point now;
    const double empty_bytes = bytes_in_use();
    partition_load load({});
    load.set_partitions(ranges, now);
    const double bytes = (bytes_in_use() - empty_bytes) / static_cast<double>(partitions);
    auto start = wall_clock::now();
    for (std::size_t i = 0; i < iterations; ++i)
    {
        now += duration(10);
        load.add(key_hash{random()}, 1, now);
    }
    const double add_ns = ns_since(start) / static_cast<double>(iterations);
    start = wall_clock::now();
    const std::vector<partition_sample> samples = load.samples(now);
    const double sample_ns = ns_since(start) / static_cast<double>(samples.size());
    return {std::to_string(partitions), {add_ns, sample_ns, bytes}};
}

report_table load_costs()
{
    report_table table{"cost of partition_load",
                       "partitions",
                       {{"add ns"}, {"sample ns/part"}, {"bytes/part"}},
                       {}};
    for (const std::size_t partitions : {1'000, 10'000, 100'000})
    {
        table.rows.push_back(load_row(partitions));
    }
    return table;
}

// Assigns the partitions round-robin, with random loads between 0.9 and 1.1. If
// `has_overloaded_server`, the loads on the first server are 1.5 times as high.
balance_view make_view(std::size_t partitions, bool has_overloaded_server)
{
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> noise(0.9, 1.1);
    balance_view view;
    for (std::size_t i = 0; i < servers_per_shard; ++i)
    {
        view.servers.push_back({server_id("server-" + std::to_string(i)), 1, true});
    }
    const std::vector<hash_range> ranges = even_ranges(partitions);
    for (std::size_t i = 0; i < partitions; ++i)
    {
        const std::size_t server = i % servers_per_shard;
        const double factor = has_overloaded_server && server == 0 ? 1.5 : 1;
        view.partitions.push_back(
            {ranges[i], server, factor * noise(random), 1000, {}, false});
    }
    return view;
}

double plan_ms(const balance_view& view, std::size_t& steps)
{
    balancer_options options;
    options.max_partitions = std::numeric_limits<std::size_t>::max();
    balancer planner(options);
    const auto start = wall_clock::now();
    steps = planner.plan(view, time_point(seconds(1))).steps.size();
    return ns_since(start) / 1e6;
}

report_row plan_row(std::size_t partitions)
{
    std::size_t even_steps = 0;
    std::size_t uneven_steps = 0;
    const double even_ms = plan_ms(make_view(partitions, false), even_steps);
    const double uneven_ms = plan_ms(make_view(partitions, true), uneven_steps);
    return {std::to_string(partitions),
            {even_ms,
             static_cast<double>(even_steps),
             uneven_ms,
             static_cast<double>(uneven_steps)}};
}

report_table plan_costs()
{
    report_table table{"cost of a plan, 64 servers",
                       "partitions",
                       {{"even ms", 3}, {"steps", 0}, {"uneven ms", 3}, {"its steps", 0}},
                       {}};
    for (const std::size_t partitions : {1'000, 10'000, 100'000})
    {
        table.rows.push_back(plan_row(partitions));
    }
    return table;
}

report_row budget_row(std::size_t caller_count)
{
    const std::vector<caller_name> names = make_caller_names(caller_count);
    retry_budget_options options;
    options.max_callers = caller_count;
    const double empty_bytes = bytes_in_use();
    retry_budget budget(options);
    for (const caller_name& it : names)
    {
        budget.count_first_attempt(it);
    }
    const double bytes =
        (bytes_in_use() - empty_bytes) / static_cast<double>(caller_count);
    const auto start = wall_clock::now();
    for (std::size_t i = 0; i < iterations; ++i)
    {
        budget.count_first_attempt(names[i % caller_count]);
    }
    return {std::to_string(caller_count),
            {ns_since(start) / static_cast<double>(iterations), bytes}};
}

report_table budget_costs()
{
    report_table table{
        "cost of retry_budget", "callers", {{"ns/request"}, {"bytes/caller"}}, {}};
    for (const std::size_t caller_count : {20, 200, 2000})
    {
        table.rows.push_back(budget_row(caller_count));
    }
    return table;
}

} // namespace

std::vector<report_table> cost_report()
{
    return {queue_costs(), load_costs(), plan_costs(), budget_costs()};
}

} // namespace camphorrock
