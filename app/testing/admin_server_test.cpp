#include "app/admin_server.hpp"
#include "app/command_line.hpp"
#include "app/query.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("the admin port answers health, readiness, metrics and added paths")
{
    GIVEN("a program that is not ready")
    {
        auto loop = event_loop::create().value();
        metrics_registry metrics;
        metrics.get_counter({"a_total", "a"}).add(3);
        bool is_ready = false;
        auto admin =
            admin_server::create(
                *loop, endpoint("127.0.0.1:0"), metrics, [&] { return is_ready; })
                .value();
        auto status_of = [&](const char* method, const char* target)
        {
            return admin->answer({method, target, {}, ""}).status;
        };

        THEN("it is healthy, and ready once is_ready returns true")
        {
            CHECK(status_of("GET", "/healthz") == 200);
            CHECK(status_of("GET", "/readyz") == 503);
            is_ready = true;
            CHECK(status_of("GET", "/readyz?x=1") == 200);
        }

        THEN("metrics are exported, and other paths and methods are answered with 404")
        {
            CHECK_THAT(admin->answer({"GET", "/metrics", {}, ""}).body,
                       Catch::Contains("a_total 3\n"));
            CHECK(status_of("GET", "/") == 404);
            CHECK(status_of("POST", "/metrics") == 404);
        }

        THEN("an added path is answered by its handler")
        {
            admin->add("POST",
                       "/drain",
                       [](const http_request&)
                       { return make_text_response(202, "draining\n"); });
            CHECK(status_of("POST", "/drain?now=1") == 202);
        }
    }
}

TEST_CASE("query parameters of a target are read by name")
{
    CHECK(query_value("/a?x=1&y=2", "y") == "2");
    CHECK(query_value("/a?xy=1", "y") == std::nullopt);
    CHECK(query_value("/y=3", "y") == std::nullopt);
    CHECK(query_number("/a?x=1.5", "x") == 1.5);
    for (const char* bad : {"/a?x=", "/a?x=1z", "/a?x=-1", "/a?x=inf", "/a?x=nan", "/a"})
    {
        CHECK(query_number(bad, "x") == std::nullopt);
    }
}

TEST_CASE("the command line returns the documented exit status")
{
    std::int64_t slots = 3;
    command_line line("camphorrock-test", "A test.");
    line.add_config();
    line.add_option("--slots", slots, "slots");
    line.require_range("--slots", 1, 9);
    auto parse = [&](std::vector<const char*> args)
    {
        args.insert(args.begin(), "camphorrock-test");
        return line.parse(static_cast<int>(args.size()), args.data());
    };

    CHECK(parse({"--version"}) == exit_ok);
    CHECK(parse({"--help"}) == exit_ok);
    CHECK(parse({}) == exit_bad_usage);
    CHECK(parse({"--config", "f", "--slots", "10"}) == exit_bad_usage);
    CHECK(parse({"--config", "f", "--what"}) == exit_bad_usage);
    CHECK(parse({"--config", "f", "--slots", "4", "--log-level", "debug"}) ==
          std::nullopt);
    CHECK(slots == 4);
    CHECK(line.log_level() == severity::debug);
    CHECK(line.config_file() == "f");
}
