#include "codec/json_text.hpp"
#include "ctl/yaml_json.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// Returns the JSON text of a YAML text, or "error: ...".
std::string as_json(const std::string& yaml)
{
    return value_or_handle(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_AUTO(value, parse_yaml(yaml));
            return write_json(value);
        },
        [](const error& ec) { return "error: " + ec.text; });
}

} // namespace

TEST_CASE("a patch written in YAML is converted to JSON")
{
    SECTION("plain scalars keep their types, quoted ones become strings")
    {
        CHECK(as_json("{a: 3, b: true, c: null, d: x, e: '3', f: \"true\", g: 1.5}") ==
              R"({"a":3,"b":true,"c":null,"d":"x","e":"3","f":"true","g":1.5})");
    }
    SECTION("an empty value becomes null, which removes a member in a merge patch")
    {
        CHECK(as_json("services:\n  valves:\n") == R"({"services":{"valves":null}})");
    }
    SECTION("lists and nested maps keep their structure")
    {
        CHECK(as_json("a:\n  - {m: POST}\n  - 2\n") == R"({"a":[{"m":"POST"},2]})");
    }
    SECTION("an address becomes a string")
    {
        CHECK(as_json("endpoint: 10.0.0.1:80") == R"({"endpoint":"10.0.0.1:80"})");
    }
    SECTION("errors name the line")
    {
        CHECK(as_json("a: 1\na: 2\n") == "error: line 2: duplicate key a");
        CHECK(as_json("a: 1\n[x]: 2\n").rfind("error: line 2", 0) == 0);
        CHECK(as_json("a: [1\n").rfind("error: line", 0) == 0);
    }
}
