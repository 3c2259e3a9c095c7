#include "fakes/relay/relay.hpp"
#include "net/testing/loop_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using camphorrock::testing::loop_fixture;

namespace
{

const char* const other_ip = "127.0.0.2";
const char* const faulted_ip = "127.0.0.3";

// A server behind a relay, and two clients with different source addresses.
struct relay_fixture : loop_fixture
{
    relay_fixture() : loop_fixture(camphorrock::testing::echo)
    {
        log = event_log::to_stderr("relay_test", severity::error);
        under_test =
            relay::create(*loop, endpoint("127.0.0.1:0"), server->bound(), *log).value();
        other_client = client_at(other_ip);
        faulted_client = client_at(faulted_ip);
    }

    std::unique_ptr<http_client> client_at(const char* source)
    {
        http_client_options options;
        options.source = source;
        return http_client::create(*loop, options).value();
    }

    exchange_end get(http_client& from)
    {
        std::optional<exchange_end> end;
        exchange_options options;
        options.timeout = milliseconds(200);
        from.send(under_test->bound(),
                  {"GET", "/", {}, ""},
                  options,
                  [&](const exchange_result& got) { end = got.end; });
        run_until([&] { return end.has_value(); });
        return *end;
    }

    void set_fault(relay_mode mode, const char* source)
    {
        REQUIRE(under_test->set_fault({mode, relay_direction::both, {}, source}));
    }

    std::unique_ptr<event_log> log;
    std::unique_ptr<relay> under_test;
    std::unique_ptr<http_client> other_client;
    std::unique_ptr<http_client> faulted_client;
};

} // namespace

TEST_CASE("a relay fault can be limited to one source address")
{
    relay_fixture fixture;
    REQUIRE(fixture.get(*fixture.other_client) == exchange_end::answered);
    REQUIRE(fixture.get(*fixture.faulted_client) == exchange_end::answered);

    WHEN("connections from one address are cut")
    {
        fixture.set_fault(relay_mode::cut, faulted_ip);

        THEN("its requests get no answer, those of the other address do")
        {
            CHECK(fixture.get(*fixture.faulted_client) != exchange_end::answered);
            CHECK(fixture.get(*fixture.other_client) == exchange_end::answered);

            AND_WHEN("the cut ends")
            {
                fixture.set_fault(relay_mode::pass, faulted_ip);
                CHECK(fixture.get(*fixture.faulted_client) == exchange_end::answered);
            }
        }
    }

    WHEN("connections from one address are stalled")
    {
        fixture.set_fault(relay_mode::stall, faulted_ip);
        CHECK(fixture.get(*fixture.faulted_client) == exchange_end::timed_out);
        CHECK(fixture.get(*fixture.other_client) == exchange_end::answered);
    }

    WHEN("connections from one address are silenced")
    {
        fixture.set_fault(relay_mode::silence, faulted_ip);
        CHECK(fixture.get(*fixture.faulted_client) == exchange_end::timed_out);
        CHECK(fixture.get(*fixture.other_client) == exchange_end::answered);
        CHECK(fixture.get(*fixture.faulted_client) == exchange_end::answered);
    }

    WHEN("all connections are cut")
    {
        fixture.set_fault(relay_mode::cut, "");
        CHECK(fixture.get(*fixture.faulted_client) == exchange_end::not_connected);
        CHECK(fixture.get(*fixture.other_client) == exchange_end::not_connected);

        AND_WHEN("the cut ends")
        {
            fixture.set_fault(relay_mode::pass, "");
            CHECK(fixture.get(*fixture.faulted_client) == exchange_end::answered);
        }
    }
}
