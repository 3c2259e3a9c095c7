#include "core/once/once_gate.hpp"
#include "testing/test_headers.hpp"

#include <malloc.h>

#include <chrono>
#include <iostream>

using namespace camphorrock;

// What an id costs a router: core_test "[bench]". Not part of CI.

namespace
{

constexpr std::size_t id_count = 50000;
constexpr std::size_t ids_at_once = 16;

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

// Plays the store and the servers, which answer at once.
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
            gate.on_finished(now, run->run, {outcome::ran, 200, payload});
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

TEST_CASE("time and memory of an id", "[.][bench]")
{
    instant_platform world;
    world.gate.take_over(world.now, hash_range(), epoch{1});
    world.step();
    world.step();
    auto start = std::chrono::steady_clock::now();
    for (std::size_t n = 0; n < id_count; ++n)
    {
        world.gate.arrive(world.now, request_of(n, world.now));
        if (n % ids_at_once == ids_at_once - 1)
        {
            world.step();
        }
    }
    world.step();
    double taken = ns_since(start);
    REQUIRE(world.gate.remembered_ids() == id_count);
    std::cout << id_count << " ids, " << ids_at_once << " at once: " << taken / id_count
              << " ns an id, " << world.gate.memory_bytes() / id_count
              << " bytes an id in the budget, " << world.stored.size() << " batches\n";

    world.gate.lose(world.now, hash_range());
    once_options options = bench_options();
    options.router = instance_id("r2");
    options.writer = 9;
    std::size_t held = mallinfo2().uordblks;
    write_budget budget;
    once_gate successor(options, budget);
    successor.take_over(world.now, hash_range(), epoch{2});
    start = std::chrono::steady_clock::now();
    successor.on_loaded(world.now, true, world.stored);
    std::cout << "taking in " << world.stored.size()
              << " batches: " << ns_since(start) / id_count << " ns an id, "
              << (mallinfo2().uordblks - held) / id_count << " bytes allocated an id\n";
    REQUIRE(successor.remembered_ids() == id_count);
}
