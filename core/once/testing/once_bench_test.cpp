#include "core/once/once_gate.hpp"
#include "testing/test_headers.hpp"

#include <malloc.h>

#include <chrono>
#include <iostream>

using namespace camphorrock;

// Time and memory that a router spends per id. Run by core_test "[bench]"; not part of
// CI.

namespace
{

constexpr std::size_t id_count = 50000;
constexpr std::size_t ids_per_step = 16;

double ns_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() -
                                                    start)
        .count();
}

once_options bench_options()
{
    once_options options;
    options.router = instance_id("r1");
    options.writer = 7;
    options.max_memory_bytes = 256 * mebibyte;
    return options;
}

// A store and servers that answer at once.
struct instant_platform
{
    write_budget budget;
    once_gate gate{bench_options(), budget};
    time_point now{seconds(1)};
    std::vector<stored_batch> stored;
    std::shared_ptr<const std::string> payload =
        std::make_shared<const std::string>(300, 'x');

    void step()
    {
        now += milliseconds(20);
        gate.tick(now);
        for (bool is_quiet = false; !is_quiet;)
        {
            std::vector<once_action> actions = gate.take_actions();
            is_quiet = actions.empty();
            for (once_action& it : actions)
            {
                carry_out(it);
            }
        }
    }

    void carry_out(once_action& action)
    {
        if (auto* append = std::get_if<append_action>(&action))
        {
            stored.push_back({instance_id("r1"), append->number, append->batch});
            gate.on_append(now, append->number, store_end::done);
        }
        else if (auto* run = std::get_if<run_action>(&action))
        {
            gate.on_run_finished(now, run->run, {outcome::ran, 200, payload});
        }
        else if (std::holds_alternative<load_action>(action))
        {
            gate.on_loaded(now, true, {});
        }
    }
};

once_request request_of(std::size_t n, time_point now)
{
    std::string id = "6f1d3a52-8c0e-4b7a-9f21-" + std::to_string(100000000000 + n);
    once_key key{hash_key(id), caller_name("insurer-north"), request_id(id)};
    return {{n + 1}, key, n, epoch{1}, now + seconds(10)};
}

} // namespace

TEST_CASE("time and memory per id", "[.][bench]")
{
    instant_platform platform;
    platform.gate.take_over(platform.now, hash_range(), epoch{1});
    platform.step();
    platform.step();
    auto start = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < id_count; ++n)
    {
        platform.gate.on_request_received(platform.now, request_of(n, platform.now));
        if (n % ids_per_step == ids_per_step - 1)
        {
            platform.step();
        }
    }
    platform.step();
    double elapsed_ns = ns_since(start);
    REQUIRE(platform.gate.remembered_ids() == id_count);
    std::cout << id_count << " ids, " << ids_per_step
              << " per step: " << elapsed_ns / id_count << " ns per id, "
              << platform.gate.memory_bytes() / id_count
              << " bytes per id in the memory budget, " << platform.stored.size()
              << " batches\n";

    platform.gate.on_range_lost(platform.now, hash_range());
    once_options options = bench_options();
    options.router = instance_id("r2");
    options.writer = 9;
    std::size_t allocated_before = mallinfo2().uordblks;
    write_budget budget;
    once_gate successor(options, budget);
    successor.take_over(platform.now, hash_range(), epoch{2});
    start = std::chrono::steady_clock::now();
    successor.on_loaded(platform.now, true, platform.stored);
    std::cout << "loading " << platform.stored.size()
              << " batches: " << ns_since(start) / id_count << " ns per id, "
              << (mallinfo2().uordblks - allocated_before) / id_count
              << " bytes allocated per id\n";
    REQUIRE(successor.remembered_ids() == id_count);
}
