// What the end of an ownership call says of the server's process.

#include "net/testing/raw_listener.hpp"
#include "router/ownership_caller.hpp"
#include "router/testing/parts_fixture.hpp"
#include "testing/test_headers.hpp"

#include <vector>

using namespace camphorrock;
using namespace camphorrock::testing;

TEST_CASE("only a refused connection shows that a server's process is gone")
{
    parts_fixture fixture;
    auto http =
        http_client::create(*fixture.loop, {.max_connections_per_endpoint = 1}).value();
    rpc_client rpc(*http);
    ownership_caller caller(*fixture.loop, rpc, shard_id("diary"));
    auto listener = std::make_unique<raw_listener>();
    const endpoint address = listener->bound();
    std::vector<ownership_end> ends;
    auto keep = [&](const ownership_end& end)
    {
        ends.push_back(end);
    };

    WHEN("nobody listens")
    {
        listener.reset();
        caller.clock(address, keep);
        fixture.run_until([&] { return ends.size() == 1; });

        THEN("it is gone")
        {
            CHECK(ends[0].is_connection_refused);
        }
    }
    WHEN("a frozen server answers nothing and a second call waits for its connection")
    {
        caller.clock(address, keep);
        caller.clock(address, keep);
        fixture.run_until([&] { return ends.size() == 2; });

        THEN("it may run on")
        {
            CHECK_FALSE(ends[0].is_connection_refused);
            CHECK_FALSE(ends[1].is_connection_refused);
        }
    }
}
