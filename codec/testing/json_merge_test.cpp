#include "codec/configuration_json.hpp"
#include "codec/json_merge.hpp"
#include "codec/json_text.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

struct merge_example
{
    std::string target;
    std::string patch;
    std::string merged;
};

// Wraps the value in an array, since parse_json accepts only objects and arrays.
Json::Value value_of(const std::string& text)
{
    return parse_json("[" + text + "]").value()[0];
}

} // namespace

TEST_CASE("merge patches follow the examples of RFC 7396, appendix A")
{
    const merge_example examples[] = {
        {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
        {R"({"a":"b"})", R"({"a":null})", R"({})"},
        {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
        {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
        {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
        {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
        {R"(["a","b"])", R"(["c","d"])", R"(["c","d"])"},
        {R"({"a":"b"})", R"(["c"])", R"(["c"])"},
        {R"({"a":"foo"})", R"(null)", R"(null)"},
        {R"({"a":"foo"})", R"("bar")", R"("bar")"},
        {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"},
        {R"([1,2])", R"({"a":"b","c":null})", R"({"a":"b"})"},
        {R"({})", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
    };
    for (const merge_example& it : examples)
    {
        INFO(it.target << " with " << it.patch);
        CHECK(merge_patch(value_of(it.target), value_of(it.patch)) ==
              value_of(it.merged));
    }
}

TEST_CASE("a patch makes the next configuration")
{
    configuration current = parse_configuration(R"({"version":4,"services":{"valves":{
        "servers":{"s1":{"endpoint":"10.0.0.1:80"},"s2":{"endpoint":"10.0.0.2:80"}}}}})")
                                .value();
    patch_request request{patch_id("p5"), config_version{4}};
    auto patched = [&](const std::string& patch)
    {
        return patched_configuration(current, request, value_of(patch));
    };

    SECTION("it sets a server's drain flag and removes another server")
    {
        configuration next = patched(R"({"services":{"valves":{"servers":{
            "s1":{"drain":true},"s2":null}}}})")
                                 .value();
        CHECK(next.version == config_version{5});
        CHECK(next.patches == std::vector<applied_patch>{{request.id, next.version}});
        REQUIRE(next.services[0].servers.size() == 1);
        CHECK(next.services[0].servers[0].drain);
    }

    SECTION("read-only members, unknown fields and invalid values are rejected")
    {
        CHECK_FALSE(patched(R"({"version":9})"));
        CHECK_FALSE(patched(R"({"patches":[]})"));
        CHECK_FALSE(patched(R"({"service":{}})"));
        CHECK_FALSE(patched(R"({"services":{"valves":{"partitions":0}}})"));
        CHECK_FALSE(patched(R"(["services"])"));
    }
}
