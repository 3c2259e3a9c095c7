#include "codec/history_json.hpp"
#include "load/history_checker.hpp"
#include "load/router_status.hpp"
#include "load/version_lag.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

constexpr history_time second = 1'000'000;

patch_record patch(const char* id,
                   unsigned base,
                   const char* ended,
                   unsigned version,
                   history_time end = second)
{
    return {end - 1,
            end,
            "tayside",
            endpoint("127.0.0.1:1"),
            patch_id(id),
            config_version{base},
            ended,
            config_version{version}};
}

router_config_record observed(const char* process,
                              unsigned version,
                              history_time start,
                              bool is_serving = true)
{
    return {start,
            start + 1,
            endpoint("127.0.0.1:2"),
            process,
            config_version{version},
            is_serving};
}

config_document_record
document(unsigned version, std::vector<listed_patch> patches, history_time start)
{
    return {start, start + 1, config_version{version}, std::move(patches)};
}

listed_patch listed(const char* id, unsigned version)
{
    return {patch_id(id), config_version{version}};
}

// Adds the record after a round trip through its JSON line.
void add(history_checker& checker, const history_entry& entry)
{
    checker.add(value_or_handle(
        [&] { return read_history_line(write_history_line(entry)); },
        [](const error& ec) -> history_entry { throw std::runtime_error(ec.text); }));
}

history_checker checker_of(const config_history& history)
{
    history_checker checker;
    for (const patch_record& it : history.patches)
    {
        add(checker, it);
    }
    for (const router_config_record& it : history.routers)
    {
        add(checker, it);
    }
    for (const config_document_record& it : history.documents)
    {
        add(checker, it);
    }
    return checker;
}

std::vector<violation_kind> kinds_in(const config_history& history)
{
    std::vector<violation_kind> kinds;
    for (const violation& it : checker_of(history).check())
    {
        kinds.push_back(it.kind);
    }
    return kinds;
}

using found = std::vector<violation_kind>;

} // namespace

TEST_CASE("find_config_violations finds each violation of the configuration")
{
    config_history history;
    history.patches = {patch("p1", 0, "accepted", 1, second),
                       patch("p2", 1, "accepted", 2, 2 * second),
                       patch("q2", 1, "stale", 2, 2 * second),
                       patch("p1", 0, "accepted", 1, 3 * second)};
    history.documents = {document(1, {listed("p1", 1)}, second),
                         document(2, {listed("p1", 1), listed("p2", 2)}, 3 * second)};
    history.routers = {observed("a", 1, second),
                       observed("a", 1, 7 * second),
                       observed("a", 2, 9 * second)};

    SECTION("an accepted, a stale and a repeated patch are no violation")
    {
        CHECK(kinds_in(history).empty());
        CHECK(checker_of(history).summary().patches == 4);
        CHECK(checker_of(history).summary().accepted_patches == 2);
        CHECK(checker_of(history).summary().router_versions == 3);
    }

    SECTION("a router process that returns to a lower version is a violation")
    {
        history.routers.push_back(observed("a", 1, 10 * second, false));
        CHECK(kinds_in(history) == found{violation_kind::version_fell});
    }

    SECTION("a new router process may start without a configuration")
    {
        history.routers.push_back(observed("b", 0, 10 * second, false));
        CHECK(kinds_in(history).empty());
    }

    SECTION("overlapping queries of a router are not compared")
    {
        history.routers.back().end += 2;
        history.routers.push_back(observed("a", 1, 9 * second + 2, false));
        CHECK(kinds_in(history).empty());
    }

    SECTION("a router that serves with a version replaced over 6 s ago is a violation")
    {
        history.routers[1] = observed("a", 1, 8 * second + 1);
        CHECK(kinds_in(history) == found{violation_kind::old_version});

        AND_WHEN("the router refuses requests, which is no violation")
        {
            history.routers[1].is_serving = false;
            CHECK(kinds_in(history).empty());
        }
    }

    SECTION("two patches accepted on one base are a violation")
    {
        history.patches.push_back(patch("q3", 1, "accepted", 3, 4 * second));
        CHECK(kinds_in(history) == found{violation_kind::two_on_one_base});
    }

    SECTION("an accepted patch missing in a later document is a violation")
    {
        history.documents.push_back(document(1, {listed("p1", 1)}, 4 * second));
        CHECK(kinds_in(history) == found{violation_kind::patch_lost});
    }

    SECTION("a patch older than the document's list may be missing")
    {
        history.documents.push_back(document(2, {listed("p2", 2)}, 4 * second));
        CHECK(kinds_in(history).empty());
    }

    SECTION("a patch may be missing in a document read before its answer")
    {
        history.documents.push_back(document(1, {listed("p1", 1)}, 2 * second - 1));
        CHECK(kinds_in(history).empty());
    }

    SECTION("a patch id that creates two versions is a violation")
    {
        history.documents.push_back(
            document(3, {listed("p1", 1), listed("p2", 2), listed("p1", 3)}, 4 * second));
        CHECK(kinds_in(history) == found{violation_kind::patch_twice});
    }

    SECTION("a patch answered stale but in the document is a violation")
    {
        history.documents.push_back(
            document(3, {listed("p1", 1), listed("p2", 2), listed("q2", 3)}, 4 * second));
        CHECK(kinds_in(history) == found{violation_kind::patch_after_denial});
    }
}

TEST_CASE("read_router_status reads the configuration version from the metrics")
{
    const std::string text = "# HELP camphorrock_config_version Version.\n"
                             "camphorrock_config_version 17\n"
                             "camphorrock_config_version_other 3\n"
                             "camphorrock_config_current 1\n"
                             "camphorrock_started_seconds 12.5\n";
    router_config_record got;
    REQUIRE(read_router_status(text, got));
    CHECK(got.version == config_version{17});
    CHECK(got.is_serving);
    CHECK(got.process == "12.5");
    CHECK_FALSE(read_router_status("camphorrock_config_version 17\n", got));
}

TEST_CASE("version_lag measures the lag of each router and version")
{
    auto at = [](unsigned ms)
    {
        return time_point(milliseconds(ms));
    };
    const endpoint router_a("127.0.0.1:1");
    const endpoint router_b("127.0.0.1:2");
    version_lag lag;
    lag.on_observed(router_a, config_version{1}, at(0));
    lag.on_observed(router_b, config_version{1}, at(0));
    lag.on_accepted(config_version{2}, at(100));
    lag.on_accepted(config_version{3}, at(200));
    lag.on_observed(router_a, config_version{2}, at(150));
    lag.on_observed(router_a, config_version{3}, at(260));
    CHECK(lag.quantile(1) == milliseconds(60));
    lag.on_observed(router_b, config_version{3}, at(1100)); // both versions at once
    CHECK(lag.quantile(1) == milliseconds(1000));
    CHECK(lag.quantile(0) == milliseconds(50));

    WHEN("a router serves with a version before the operator has the answer")
    {
        lag.on_observed(router_a, config_version{4}, at(1200));
        lag.on_accepted(config_version{4}, at(1210));
        CHECK(lag.quantile(0) == duration(0));
    }
}
