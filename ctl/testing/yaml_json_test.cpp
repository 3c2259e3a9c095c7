#include "codec/json_text.hpp"
#include "ctl/yaml_json.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// The JSON text of a YAML text, or "fault: ...".
std::string as_json(const std::string& yaml)
{
    return value_or_handle(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_AUTO(value, parse_yaml(yaml));
            return write_json(value);
        },
        [](const error& ec) { return "fault: " + ec.text; });
}

} // namespace

TEST_CASE("a patch written in YAML becomes JSON")
{
    SECTION("plain scalars have their types, quoted ones are text")
    {
        CHECK(as_json("{a: 3, b: true, c: null, d: x, e: '3', f: \"true\", g: 1.5}") ==
              R"({"a":3,"b":true,"c":null,"d":"x","e":"3","f":"true","g":1.5})");
    }
    SECTION("null removes a member, so an empty value is null")
    {
        CHECK(as_json("services:\n  valves:\n") == R"({"services":{"valves":null}})");
    }
    SECTION("lists and nested maps keep their shape")
    {
        CHECK(as_json("a:\n  - {m: POST}\n  - 2\n") == R"({"a":[{"m":"POST"},2]})");
    }
    SECTION("an address is text")
    {
        CHECK(as_json("endpoint: 10.0.0.1:80") == R"({"endpoint":"10.0.0.1:80"})");
    }
    SECTION("faults name the line")
    {
        CHECK(as_json("a: 1\na: 2\n") == "fault: line 2: the key a stands twice");
        CHECK(as_json("a: 1\n[x]: 2\n").rfind("fault: line 2", 0) == 0);
        CHECK(as_json("a: [1\n").rfind("fault: line", 0) == 0);
    }
}
