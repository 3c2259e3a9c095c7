#include "router/request_reader.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

configuration make_config()
{
    configuration config;
    service_config& valves = config.services.emplace_back();
    valves.name = service_name("valves");
    valves.repeatable_routes = {{"POST", "/search"}};
    valves.long_routes = {{"GET", "/sheet/all"}, {"*", "/report"}};
    return config;
}

// A caller's request and the live_request that is read from it.
struct reader_fixture
{
    std::optional<problem> read()
    {
        return read_request(sent, config, rules, now, request);
    }

    refusal fault()
    {
        std::optional<problem> found = read();
        REQUIRE(found);
        return found->why;
    }

    configuration config = make_config();
    request_rules rules;
    time_point now{seconds(50)};
    std::mt19937_64 random{1};
    http_request sent{"GET", "/valves/quad-17/sheet?x=1", {}, {}};
    live_request request{[](const request_summary&, http_response*) {}, random};
};

} // namespace

TEST_CASE("read_request reads the target, the caller and the deadline")
{
    reader_fixture fixture;

    SECTION("a GET request without headers has the defaults")
    {
        CHECK_FALSE(fixture.read());
        CHECK(fixture.request.target.key == "quad-17");
        CHECK(fixture.request.caller.str() == "anonymous");
        CHECK(fixture.request.deadline == fixture.now + fixture.rules.default_timeout);
        CHECK(fixture.request.id.empty());
        CHECK(fixture.request.route.str() == "GET /sheet");
    }
    SECTION("the headers set the caller's name and the deadline")
    {
        fixture.sent.headers.add("camphorrock-caller", "tayside");
        fixture.sent.headers.add("Camphorrock-Timeout-Ms", "250");
        CHECK_FALSE(fixture.read());
        CHECK(fixture.request.caller.str() == "tayside");
        CHECK(fixture.request.deadline == fixture.now + milliseconds(250));
    }
    SECTION("a timeout that is not a positive integer is refused")
    {
        std::string text = GENERATE("", "0", "-5", "1s", "99999999999999999999");
        fixture.sent.headers.add("Camphorrock-Timeout-Ms", text);
        CHECK(fixture.fault() == refusal::bad_header);
    }
    SECTION("a timeout above the maximum is reduced to it")
    {
        fixture.sent.headers.add("Camphorrock-Timeout-Ms", "9999999999");
        CHECK_FALSE(fixture.read());
        CHECK(fixture.request.deadline == fixture.now + fixture.rules.max_timeout);
    }
    SECTION("an unknown service and a malformed target are refused differently")
    {
        fixture.sent.target = "/nosuch/k";
        CHECK(fixture.fault() == refusal::unknown_service);
        fixture.sent.target = "/valves";
        CHECK(fixture.fault() == refusal::bad_target);
    }
}

TEST_CASE("an unrepeatable method requires an id")
{
    reader_fixture fixture;
    fixture.sent.method = GENERATE("POST", "PATCH", "DELETE");
    CAPTURE(fixture.sent.method);

    SECTION("without an id, the request is refused")
    {
        CHECK(fixture.fault() == refusal::id_required);
    }
    SECTION("with an id, the request is accepted")
    {
        fixture.sent.headers.add("Idempotency-Key", "booking-1");
        CHECK_FALSE(fixture.read());
        CHECK(fixture.request.id.str() == "booking-1");
    }
    SECTION("an id that is empty, too long or not printable is refused")
    {
        std::string id = GENERATE(
            std::string(), std::string(max_id_size + 1, 'x'), std::string("a b"));
        fixture.sent.headers.add("Idempotency-Key", id);
        CHECK(fixture.fault() == refusal::bad_header);
    }
    SECTION("no id is required if the service declares the route repeatable")
    {
        fixture.sent.target = "/valves/quad-17/search?q=EL34";
        bool is_declared = fixture.sent.method == "POST";
        CHECK(fixture.read().has_value() == !is_declared);
    }
}

TEST_CASE("a declared long route is a separate route class")
{
    reader_fixture fixture;

    SECTION("whose name has the declared prefix")
    {
        fixture.sent.target = "/valves/quad-17/sheet/all/2024?x=1";
        REQUIRE_FALSE(fixture.read());
        CHECK(fixture.request.is_declared_long);
        CHECK(fixture.request.route.str() == "GET /sheet/all");
    }
    SECTION("for all methods if it is declared for *")
    {
        fixture.sent.method = "PUT";
        fixture.sent.target = "/valves/quad-17/report";
        REQUIRE_FALSE(fixture.read());
        CHECK(fixture.request.is_declared_long);
        CHECK(fixture.request.route.str() == "PUT /report");
    }
    SECTION("to which other routes do not belong")
    {
        fixture.sent.target = "/valves/quad-17/sheet/one";
        REQUIRE_FALSE(fixture.read());
        CHECK_FALSE(fixture.request.is_declared_long);
        CHECK(fixture.request.route.str() == "GET /sheet");
    }
}
