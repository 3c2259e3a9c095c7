#include "load/load_request.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("to_http builds the same request for all attempts of an id")
{
    GIVEN("an unrepeatable request")
    {
        load_request request;
        request.row.caller = "forum";
        request.service = service_name("valves");
        request.key = "quad-1";
        request.id = request_id("order-1");
        request.tag = "t";
        request.timeout = milliseconds(300);
        http_request first = to_http(request, "t.1");
        http_request second = to_http(request, "t.2");

        THEN("only the header X-Attempt differs between attempts")
        {
            CHECK(first.method == "POST");
            CHECK(first.target == second.target);
            CHECK(first.body == second.body);
            CHECK(second.headers.find("X-Attempt") == "t.2");
            CHECK(second.headers.find("Idempotency-Key") == "order-1");
            CHECK(second.headers.find("Camphorrock-Timeout-Ms") == "300");
        }
        THEN("a long request has another path")
        {
            CHECK(first.target == "/valves/quad-1/sheet?tag=t");
            request.is_long = true;
            CHECK(to_http(request, "t.3").target ==
                  "/valves/quad-1/report?tag=t&work=long");
        }
    }
}
