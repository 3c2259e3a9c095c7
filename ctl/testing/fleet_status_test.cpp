#include "codec/json_text.hpp"
#include "ctl/fleet_status.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// Parses the status report of an assigner.
Json::Value parse_report(const std::string& text)
{
    return value_or_handle([&]() { return parse_json(text); },
                           [](const error&) { return Json::Value(); });
}

} // namespace

TEST_CASE("the status of the fleet is merged from the assigners' reports")
{
    Json::Value a1 = parse_report(R"({"assigner": "a1", "config_version": 7,
        "shards": {"s0": {"held_here": false, "holder": "a2"}},
        "routers": {"r1": {"config_version": 7, "heard_ms_ago": 900}},
        "lagging": []})");
    Json::Value a2 = parse_report(R"({"assigner": "a2", "config_version": 8,
        "shards": {"s0": {"held_here": true, "holder": "a2", "epoch": 5,
                          "servers": {"s1": {"scheduler": "r1"}}}},
        "routers": {"r1": {"config_version": 7, "heard_ms_ago": 40},
                    "r2": {"config_version": 8, "heard_ms_ago": 60}},
        "lagging": ["r1"]})");

    SECTION("if the first assigner holds no shard, the shard is taken from its holder")
    {
        Json::Value merged = merge_status({a1, a2});
        CHECK(merged["shards"]["s0"]["servers"]["s1"]["scheduler"] == "r1");
        CHECK(merged["shards"]["s0"]["seen_by"] == "a2");

        SECTION("in any order of the reports")
        {
            CHECK(merge_status({a2, a1}) == merged);
        }
    }
    SECTION("a router is taken from the assigner that received its latest report")
    {
        Json::Value merged = merge_status({a1, a2});
        CHECK(merged["routers"]["r1"]["heard_ms_ago"] == 40);
        CHECK(merged["routers"].size() == 2);
    }
    SECTION(
        "routers with an older configuration than the newest one reported are lagging")
    {
        Json::Value merged = merge_status({a1, a2});
        CHECK(merged["config_version"] == 8);
        REQUIRE(merged["lagging"].size() == 1);
        CHECK(merged["lagging"][0] == "r1");
    }
    SECTION(
        "the shard is taken from the higher epoch if a deposed holder still claims it")
    {
        Json::Value deposed = a1;
        deposed["shards"]["s0"]["held_here"] = true;
        deposed["shards"]["s0"]["epoch"] = 4;
        CHECK(merge_status({deposed, a2})["shards"]["s0"]["seen_by"] == "a2");
        CHECK(merge_status({a2, deposed})["shards"]["s0"]["seen_by"] == "a2");
    }
    SECTION("a single report is returned with its shards and its assigner")
    {
        Json::Value merged = merge_status({a1});
        CHECK(merged["shards"]["s0"]["holder"] == "a2");
        CHECK(merged["shards"]["s0"]["seen_by"] == "a1");
    }
}
