#include "codec/configuration_json.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// Returns the text of the error, or "" if the document is accepted.
std::string fault_of(const std::string& text)
{
    return value_or_handle(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_CHECK(parse_configuration(text));
            return std::string();
        },
        [](const error& ec) { return ec.text; });
}

std::string with_service(const std::string& fields)
{
    return R"({"version":1,"services":{"valves":{)" + fields + "}}}";
}

} // namespace

TEST_CASE("a configuration is read strictly")
{
    GIVEN("a document with only the required fields")
    {
        auto text = with_service(
            R"("servers":{"s1":{"endpoint":"10.0.0.1:80"},"s0":{"endpoint":"10.0.0.2:80"}})");

        THEN("the other fields have their defaults, and the round trip preserves all")
        {
            REQUIRE(fault_of(text).empty());
            configuration config = parse_configuration(text).value();
            const service_config* valves = find_service(config, service_name("valves"));
            REQUIRE(valves != nullptr);
            CHECK(valves->slots_per_server == 3);
            CHECK(find_server(*valves, server_id("s1"))->checks_epoch);
            CHECK(find_server(*valves, server_id("s2")) == nullptr);
            CHECK(parse_configuration(configuration_text(config)).value() == config);
        }
    }

    GIVEN("documents with one fault each")
    {
        THEN("the error names the path of the field")
        {
            CHECK(fault_of("[]") == "document: must be an object");
            CHECK(fault_of(R"({"services":{}})") == "version: is missing");
            CHECK(fault_of(R"({"version":1.5})").starts_with("version: must be a whole"));
            CHECK(fault_of(R"({"version":-1})").starts_with("version: must be a whole"));
            CHECK(fault_of(R"({"version":1,"version":2})").starts_with("not JSON"));
            CHECK(fault_of(with_service(R"("slots":3)")) ==
                  "services.valves.slots: is not a known field");
            CHECK(fault_of(with_service(R"("slots_per_server":0)")) ==
                  "services.valves.slots_per_server: must be from 1 to 1024");
            CHECK(fault_of(with_service(
                      R"("slots_per_server":9,"connections_per_server":8)")) ==
                  "services.valves.connections_per_server: must be from 9 to 65536");
            CHECK(fault_of(with_service(R"("servers":{"s1":{"endpoint":"10.0.0.1"}})")) ==
                  "services.valves.servers.s1.endpoint: must be \"IP:port\"");
            CHECK(fault_of(with_service(R"("servers":{"s1":{"endpoint":"10.0.0.1:80"},)"
                                        R"("s2":{"endpoint":"10.0.0.1:80"}})")) ==
                  "services.valves.servers: endpoint 10.0.0.1:80 stands twice");
            CHECK(fault_of(
                      with_service(R"("long_routes":[{"method":"GET","prefix":"a"}])")) ==
                  "services.valves.long_routes[0].prefix: must begin with \"/\"");
        }
    }
}

TEST_CASE("a route matches complete segments of a path")
{
    std::vector<route_pattern> routes{{"POST", "/search"}, {"*", "/pull/"}};

    CHECK(matches(routes, "POST", "/search"));
    CHECK(matches(routes, "POST", "/search/x"));
    CHECK(matches(routes, "GET", "/pull/x"));
    CHECK_FALSE(matches(routes, "POST", "/searching"));
    CHECK_FALSE(matches(routes, "GET", "/search"));
    CHECK(matches({{"POST", "/"}}, "POST", ""));
}
