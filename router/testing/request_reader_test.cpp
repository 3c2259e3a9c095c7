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

// What a caller sends, and what the router makes of it.
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

TEST_CASE("a caller's request is read whole")
{
    reader_fixture fixture;

    SECTION("a read without any header has the defaults")
    {
        CHECK_FALSE(fixture.read());
        CHECK(fixture.request.target.key == "quad-17");
        CHECK(fixture.request.caller.str() == "anonymous");
        CHECK(fixture.request.deadline == fixture.now + fixture.rules.default_timeout);
        CHECK(fixture.request.id.empty());
        CHECK(fixture.request.route.str() == "GET /sheet");
    }
    SECTION("the caller's name and time are taken")
    {
        fixture.sent.headers.add("camphorrock-caller", "tayside");
        fixture.sent.headers.add("Camphorrock-Timeout-Ms", "250");
        CHECK_FALSE(fixture.read());
        CHECK(fixture.request.caller.str() == "tayside");
        CHECK(fixture.request.deadline == fixture.now + milliseconds(250));
    }
    SECTION("a time that is no number or not positive is refused")
    {
        std::string text = GENERATE("", "0", "-5", "1s", "99999999999999999999");
        fixture.sent.headers.add("Camphorrock-Timeout-Ms", text);
        CHECK(fixture.fault() == refusal::bad_header);
    }
    SECTION("a very long time is cut to the longest allowed")
    {
        fixture.sent.headers.add("Camphorrock-Timeout-Ms", "9999999999");
        CHECK_FALSE(fixture.read());
        CHECK(fixture.request.deadline == fixture.now + fixture.rules.max_timeout);
    }
    SECTION("an unknown service and a bad target are told apart")
    {
        fixture.sent.target = "/nosuch/k";
        CHECK(fixture.fault() == refusal::unknown_service);
        fixture.sent.target = "/valves";
        CHECK(fixture.fault() == refusal::bad_target);
    }
}

TEST_CASE("work that may not be repeated needs an id")
{
    reader_fixture fixture;
    fixture.sent.method = GENERATE("POST", "PATCH", "DELETE");
    CAPTURE(fixture.sent.method);

    SECTION("without one it is refused")
    {
        CHECK(fixture.fault() == refusal::id_required);
    }
    SECTION("with one it is taken")
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
    SECTION("unless the service declares the route repeatable")
    {
        fixture.sent.target = "/valves/quad-17/search?q=EL34";
        bool is_declared = fixture.sent.method == "POST";
        CHECK(fixture.read().has_value() == !is_declared);
    }
}

TEST_CASE("a declared long route is a class of its own")
{
    reader_fixture fixture;

    SECTION("with the depth of its prefix")
    {
        fixture.sent.target = "/valves/quad-17/sheet/all/2024?x=1";
        REQUIRE_FALSE(fixture.read());
        CHECK(fixture.request.is_declared_long);
        CHECK(fixture.request.route.str() == "GET /sheet/all");
    }
    SECTION("for the methods that it names, or all")
    {
        fixture.sent.method = "PUT";
        fixture.sent.target = "/valves/quad-17/report";
        REQUIRE_FALSE(fixture.read());
        CHECK(fixture.request.is_declared_long);
        CHECK(fixture.request.route.str() == "PUT /report");
    }
    SECTION("and others are not of it")
    {
        fixture.sent.target = "/valves/quad-17/sheet/one";
        REQUIRE_FALSE(fixture.read());
        CHECK_FALSE(fixture.request.is_declared_long);
        CHECK(fixture.request.route.str() == "GET /sheet");
    }
}
