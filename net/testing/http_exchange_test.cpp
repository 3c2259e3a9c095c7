#include "net/testing/loop_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using camphorrock::testing::client_kind;
using camphorrock::testing::loop_fixture;

TEST_CASE("a request and its answer arrive unchanged")
{
    GIVEN("a server that echoes")
    {
        loop_fixture net(camphorrock::testing::echo,
                         {},
                         {},
                         GENERATE(client_kind::libcurl, client_kind::sockets));

        WHEN("a request with a body and an encoded target is sent")
        {
            http_request request{"POST", "/a%2Fb/../c?d=%20e", {}, "hello"};
            const exchange_result got = net.exchange(request);

            THEN("target, method and body arrive as they were sent")
            {
                REQUIRE(got.end == exchange_end::answered);
                CHECK(got.answer.status == 200);
                CHECK(got.answer.body == "hello");
                CHECK(got.answer.headers.find("seen-target") == "/a%2Fb/../c?d=%20e");
                CHECK(got.answer.headers.find("Seen-Method") == "POST");
                CHECK_FALSE(got.is_connection_reused);
            }

            AND_WHEN("a second one follows")
            {
                const exchange_result next = net.exchange({"GET", "/", {}, ""});

                THEN("it reuses the connection")
                {
                    CHECK(next.end == exchange_end::answered);
                    CHECK(next.is_connection_reused);
                }
            }

            AND_WHEN("a second one asks for a fresh connection")
            {
                exchange_options options;
                options.connection = connection_choice::fresh;
                const exchange_result next = net.exchange({"GET", "/", {}, ""}, options);

                THEN("it gets one")
                {
                    CHECK(next.end == exchange_end::answered);
                    CHECK_FALSE(next.is_connection_reused);
                }
            }
        }
    }
}
