#include "core/once/once_gate.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// A gate whose journal appends end as the test chooses. The journals of other routers
// contain `stored`.
struct single_gate
{
    once_options options;
    write_budget budget;
    once_gate gate;
    time_point now{seconds(100)};
    std::vector<answer_action> answers;
    std::vector<run_action> runs;
    std::vector<append_action> appends;
    std::vector<stored_batch> stored; // what a load returns
    std::uint64_t next_waiter = 1;

    explicit single_gate(once_options base = {})
        : options(with_router(base)), gate(options, budget)
    {
        gate.take_over(now, hash_range(), epoch{1});
        settle();
    }

    static once_options with_router(once_options options)
    {
        options.router = instance_id("r1");
        options.writer = 70;
        return options;
    }

    waiter_id arrive(const std::string& id, std::uint64_t fingerprint = 1)
    {
        waiter_id waiter{next_waiter++};
        once_key key{{5}, caller_name("c"), request_id(id)};
        gate.on_request_received(
            now, {waiter, key, fingerprint, epoch{1}, now + seconds(3600)});
        collect();
        return waiter;
    }

    // Advances the time by four seconds. Ends every append with `end`, and every load
    // with `stored`.
    void settle(store_end end = store_end::done)
    {
        for (unsigned n = 0; n < 4; ++n)
        {
            now += seconds(1);
            gate.tick(now);
            collect();
            for (const append_action& it : std::exchange(appends, {}))
            {
                gate.on_append(now, it.number, end);
            }
        }
        collect();
    }

    void collect()
    {
        for (once_action& it : gate.take_actions())
        {
            if (std::holds_alternative<load_action>(it))
            {
                gate.on_loaded(now, true, stored);
                collect();
            }
            else if (auto* append = std::get_if<append_action>(&it))
            {
                appends.push_back(*append);
            }
            else if (auto* run = std::get_if<run_action>(&it))
            {
                runs.push_back(*run);
            }
            else if (auto* answer = std::get_if<answer_action>(&it))
            {
                answers.push_back(*answer);
            }
        }
    }

    void finish(std::string payload)
    {
        auto kept = std::make_shared<const std::string>(std::move(payload));
        gate.on_run_finished(now, runs.back().run, {outcome::ran, 201, kept});
        collect();
    }
};

} // namespace

TEST_CASE("a request with an id is journaled, runs once and is remembered")
{
    GIVEN("a gate that holds the key")
    {
        single_gate it;
        it.arrive("a");

        THEN("it does not run before the journal has the id")
        {
            CHECK(it.runs.empty());
            REQUIRE(it.appends.size() == 1);
            CHECK(it.appends[0].batch.entries.size() == 1);
        }

        WHEN("it is journaled and its id arrives again while it runs")
        {
            it.settle();
            it.arrive("a");
            it.settle();

            THEN("it runs once, and both get the whole answer")
            {
                REQUIRE(it.runs.size() == 1);
                it.finish("booked");
                REQUIRE(it.answers.size() == 2);
                CHECK(*it.answers[0].result.payload == "booked");
                CHECK(*it.answers[1].result.payload == "booked");

                AND_THEN("a later request gets it too, and a different one is refused")
                {
                    it.arrive("a");
                    CHECK(*it.answers[2].result.payload == "booked");
                    it.arrive("a", 2);
                    CHECK(it.answers[3].reason == once_reason::different_request);
                    CHECK(it.answers[3].result.end == outcome::not_run);
                    CHECK(it.runs.size() == 1);
                }
            }
        }

        WHEN("its answer is too large to keep")
        {
            it.settle();
            it.finish(std::string(it.options.max_payload_bytes + 1, 'x'));
            it.arrive("a");

            THEN("the first request gets it whole, the next one only its status")
            {
                REQUIRE(it.answers.size() == 2);
                CHECK(it.answers[0].result.end == outcome::ran);
                CHECK(it.answers[1].result.end == outcome::unknown);
                CHECK(it.answers[1].result.status == 201);
            }
        }

        WHEN("the authority lapses before the journal answers")
        {
            it.gate.set_authority(it.now, it.now);
            it.settle();

            THEN("it does not run, and its outcome is unknown: another router may have "
                 "run it")
            {
                CHECK(it.runs.empty());
                REQUIRE(it.answers.size() == 1);
                CHECK(it.answers[0].result.end == outcome::unknown);
            }
        }

        WHEN("the release of its range is revoked")
        {
            it.settle();
            it.finish("booked");
            it.gate.release(it.now, hash_range());
            it.gate.take_over(it.now, hash_range(), epoch{1});
            it.settle();

            THEN("the gate is ready again")
            {
                CHECK(it.gate.is_ready(key_hash{5}, epoch{1}));
            }
        }

        WHEN("the store's reply to the append is lost")
        {
            it.settle(store_end::unknown);

            THEN("it is refused at once, and the same batch is appended again")
            {
                REQUIRE(it.answers.size() == 1);
                CHECK(it.answers[0].reason == once_reason::store_unavailable);
                CHECK(it.answers[0].result.end == outcome::not_run);
                CHECK(it.answers[0].retry_after > duration());
                it.now += it.options.max_retry_delay;
                it.gate.tick(it.now);
                it.collect();
                REQUIRE(it.appends.size() == 1);
                const auto& entries = it.appends[0].batch.entries;
                CHECK(std::get<admitted_entry>(entries.front()).key.id.str() == "a");
                it.settle();
                CHECK(it.runs.empty());
            }
        }
    }
}

TEST_CASE("the memory of a gate is bounded")
{
    once_options options;
    options.max_memory_bytes = 2 * kibibyte;
    options.filter_bytes = kibibyte;
    options.retention = seconds(60);

    GIVEN("a gate whose memory budget is used up")
    {
        single_gate it(options);
        std::size_t admitted_count = 0;
        do
        {
            it.arrive("id" + std::to_string(admitted_count));
            ++admitted_count;
            it.settle();
        } while (it.answers.empty());

        THEN("new ids are refused with a retry delay, and no id is forgotten")
        {
            CHECK(it.answers[0].reason == once_reason::over_budget);
            CHECK(it.answers[0].retry_after > duration());
            CHECK(it.gate.remembered_ids() == admitted_count - 1);
            CHECK(it.gate.memory_bytes() <= options.max_memory_bytes);
        }

        AND_WHEN("the retention of a finished id is over")
        {
            it.finish("done");
            it.answers.clear();
            it.now += options.retention;
            for (unsigned n = 0; n < 16; ++n)
            {
                it.settle();
            }

            THEN("it is refused as expired, with an unknown outcome")
            {
                it.arrive(it.runs.back().key.id.str());
                REQUIRE(it.answers.size() == 1);
                CHECK(it.answers[0].reason == once_reason::expired);
                CHECK(it.answers[0].result.end == outcome::unknown);
            }
        }
    }
}

TEST_CASE("an id is sent without the journal to servers that deduplicate")
{
    once_options options;
    options.servers_deduplicate = true;
    single_gate it(options);
    it.arrive("a");
    it.gate.on_append(it.now, it.appends.back().number, store_end::failed);
    it.arrive("b");
    REQUIRE(it.runs.size() == 1);
    it.finish("done");
    CHECK(it.answers.back().result.end == outcome::ran);
}

TEST_CASE("settings change while a gate is in use")
{
    once_options options;
    options.retention = seconds(60);
    single_gate it(options);
    once_settings settings = options;

    GIVEN("an id that ended under the longer of two retentions")
    {
        it.arrive("a");
        it.settle();
        it.finish("done");
        it.answers.clear();
        settings.retention = seconds(10);
        it.gate.change_settings(it.now, settings);

        THEN("it is kept for the longer retention, and a later id for the shorter")
        {
            it.arrive("b");
            it.settle();
            it.finish("done");
            for (unsigned n = 0; n < 8; ++n) // 32 s
            {
                it.settle();
            }
            it.answers.clear();
            it.arrive("a");
            it.arrive("b");
            REQUIRE(it.answers.size() == 2);
            CHECK(it.answers[0].reason == once_reason::finished);
            CHECK(it.answers[1].reason == once_reason::expired);
        }
    }
    GIVEN("an id that another router recorded under the longer of two retentions")
    {
        settings.retention = seconds(10);
        it.gate.change_settings(it.now, settings);
        once_key key{{5}, caller_name("c"), request_id("x")};
        journal_batch batch{30, {admitted_entry{key, 1, epoch{1}}}};
        it.stored.push_back({instance_id("r2"), 0, batch});
        it.gate.take_over(it.now, hash_range(), epoch{2});
        it.settle();
        for (unsigned n = 0; n < 8; ++n) // 32 s
        {
            it.settle();
        }

        THEN("it is kept for the longer retention")
        {
            it.arrive("x");
            REQUIRE(it.answers.size() == 1);
            CHECK(it.answers[0].reason == once_reason::unresolved);
        }
    }
    GIVEN("a retention that is raised after a batch was written under the shorter one")
    {
        settings.retention = seconds(3600);
        it.gate.change_settings(it.now, settings);
        it.now += options.retention / 3;
        it.gate.tick(it.now);
        it.collect();

        THEN("the journal is written to before that batch expires")
        {
            CHECK(it.appends.size() == 1);
        }
    }
    GIVEN("a service whose servers are now configured to deduplicate")
    {
        settings.servers_deduplicate = true;
        it.gate.change_settings(it.now, settings);
        it.arrive("a");
        it.gate.on_append(it.now, it.appends.back().number, store_end::failed);
        it.runs.clear();
        it.arrive("b");

        THEN("an id is sent without the journal, until the setting is reset")
        {
            CHECK(it.runs.size() == 1);
            settings.servers_deduplicate = false;
            it.gate.change_settings(it.now, settings);
            it.arrive("c");
            CHECK(it.runs.size() == 1);
            CHECK(it.answers.back().reason == once_reason::store_unavailable);
        }
    }
}
