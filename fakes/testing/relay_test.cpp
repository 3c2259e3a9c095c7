#include "fakes/relay/relay.hpp"
#include "net/testing/loop_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using camphorrock::testing::loop_fixture;

namespace
{

const char* const near = "127.0.0.2";
const char* const far = "127.0.0.3";

// A server behind a relay, and a client at each of two addresses.
struct relay_fixture : loop_fixture
{
    relay_fixture() : loop_fixture(camphorrock::testing::echo)
    {
        log = event_log::to_stderr("relay_test", severity::error);
        made =
            relay::create(*loop, endpoint("127.0.0.1:0"), server->bound(), *log).value();
        near_client = client_at(near);
        far_client = client_at(far);
    }

    std::unique_ptr<http_client> client_at(const char* source)
    {
        http_client_options options;
        options.source = source;
        return http_client::create(*loop, options).value();
    }

    exchange_end ask(http_client& from)
    {
        std::optional<exchange_end> end;
        exchange_options options;
        options.timeout = milliseconds(200);
        from.send(made->bound(),
                  {"GET", "/", {}, ""},
                  options,
                  [&](const exchange_result& got) { end = got.end; });
        run_until([&] { return end.has_value(); });
        return *end;
    }

    void set(relay_mode mode, const char* source)
    {
        REQUIRE(made->set({mode, relay_direction::both, {}, source}));
    }

    std::unique_ptr<event_log> log;
    std::unique_ptr<relay> made;
    std::unique_ptr<http_client> near_client;
    std::unique_ptr<http_client> far_client;
};

} // namespace

TEST_CASE("a relay's fault may concern connections from one address only")
{
    relay_fixture fixture;
    REQUIRE(fixture.ask(*fixture.near_client) == exchange_end::answered);
    REQUIRE(fixture.ask(*fixture.far_client) == exchange_end::answered);

    WHEN("the far address is cut")
    {
        fixture.set(relay_mode::cut, far);

        THEN("it gets no answer, and the near one does")
        {
            CHECK(fixture.ask(*fixture.far_client) != exchange_end::answered);
            CHECK(fixture.ask(*fixture.near_client) == exchange_end::answered);

            AND_WHEN("the cut ends")
            {
                fixture.set(relay_mode::pass, far);
                CHECK(fixture.ask(*fixture.far_client) == exchange_end::answered);
            }
        }
    }

    WHEN("the far address is stalled")
    {
        fixture.set(relay_mode::stall, far);
        CHECK(fixture.ask(*fixture.far_client) == exchange_end::timed_out);
        CHECK(fixture.ask(*fixture.near_client) == exchange_end::answered);
    }

    WHEN("the connections of the far address go silent")
    {
        fixture.set(relay_mode::silence, far);
        CHECK(fixture.ask(*fixture.far_client) == exchange_end::timed_out);
        CHECK(fixture.ask(*fixture.near_client) == exchange_end::answered);
        CHECK(fixture.ask(*fixture.far_client) == exchange_end::answered);
    }

    WHEN("all are cut")
    {
        fixture.set(relay_mode::cut, "");
        CHECK(fixture.ask(*fixture.far_client) == exchange_end::not_connected);
        CHECK(fixture.ask(*fixture.near_client) == exchange_end::not_connected);

        AND_WHEN("the cut ends")
        {
            fixture.set(relay_mode::pass, "");
            CHECK(fixture.ask(*fixture.far_client) == exchange_end::answered);
        }
    }
}
