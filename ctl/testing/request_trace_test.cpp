#include "app/json_event_log.hpp"
#include "ctl/request_trace.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

log_line make_line(const char* time,
                   const char* program,
                   event_id id,
                   std::initializer_list<field> fields)
{
    return *parse_log_line(format_json_event(id, program, time, fields));
}

} // namespace

TEST_CASE("the trace of a request is built from the log")
{
    const std::vector<log_line> log = {
        make_line("02", "g1", event_id::server_gone, {{"server", "s1"}}),
        make_line("01", "g1", event_id::server_seen, {{"server", "s1"}}),
        make_line("03", "g2", event_id::store_lost, {{"store", "x"}}),
        make_line(
            "05", "g1", event_id::attempt_failed, {{"request", "r1"}, {"server", "s1"}}),
        make_line(
            "04", "g1", event_id::request_sent, {{"request", "r1"}, {"server", "s1"}}),
        make_line("06",
                  "g1",
                  event_id::request_answered_here,
                  {{"request", "r1"}, {"reason", "server_lost"}, {"not_run", false}}),
        make_line("07", "g1", event_id::server_seen, {{"server", "s1"}}),
        make_line(
            "06", "g1", event_id::request_answered, {{"request", "r2"}, {"status", 200}}),
    };

    SECTION("it holds the request's lines sorted by time, and the cause of the outcome")
    {
        const std::optional<request_trace> got = trace_request("r1", log);
        REQUIRE(got);
        REQUIRE(got->lines.size() == 3);
        CHECK(got->lines[0].name == "request_sent");
        CHECK(got->cause.find("may have run it") != std::string::npos);
    }
    SECTION("its context holds the latest events of the server that its gateway logged "
            "by then")
    {
        const std::optional<request_trace> got = trace_request("r1", log);
        REQUIRE(got->context.size() == 2);
        CHECK(got->context[0].time == "01");
        CHECK(got->context[1].name == "server_gone");
    }
    SECTION(
        "of a request that was refused by an expected latency, it names the estimate, "
        "its age, its answers and the limit")
    {
        const std::vector<log_line> refused = {
            make_line("01",
                      "g1",
                      event_id::request_answered_here,
                      {{"request", "r1"},
                       {"reason", "overloaded"},
                       {"not_run", true},
                       {"expected_us", 337180},
                       {"limit_us", 290000},
                       {"estimate_age_us", 2100},
                       {"estimate_answers", 12U}}),
        };
        CHECK(trace_request("r1", refused)->cause ==
              "no server that could run it was expected to answer in time: 337 ms "
              "expected, 290 ms allowed; the estimate rested on 12 answers, the latest 2 "
              "ms before; it was not run");
    }
    SECTION("of a request that a rate limit kept back, it shows the limit and the token")
    {
        const std::vector<log_line> limited = {
            make_line("01",
                      "g1",
                      event_id::server_limited,
                      {{"server", "s1"}, {"rate", 3.1}, {"source", "r0"}}),
            make_line("02",
                      "g1",
                      event_id::token_decided,
                      {{"request", "r1"}, {"server", "s1"}, {"granted", false}}),
            make_line("03",
                      "g1",
                      event_id::request_answered_here,
                      {{"request", "r1"}, {"reason", "limited"}, {"not_run", true}}),
        };
        const std::optional<request_trace> got = trace_request("r1", limited);
        REQUIRE(got->context.size() == 1);
        CHECK(got->context[0].name == "server_limited");
        REQUIRE(got->lines.size() == 2);
        CHECK(got->lines[0].name == "token_decided");
        CHECK(got->cause.find("rate limits") != std::string::npos);
    }
    SECTION("of a request that crashes servers, it shows the crashes at all gateways")
    {
        const std::vector<log_line> crashes = {
            make_line("01",
                      "g2",
                      event_id::server_probed,
                      {{"request", "r0"},
                       {"fingerprint", "aa-bb"},
                       {"server", "s1"},
                       {"ended", true}}),
            make_line("02",
                      "g2",
                      event_id::server_probed,
                      {{"request", "r9"},
                       {"fingerprint", "cc-dd"},
                       {"server", "s1"},
                       {"ended", true}}),
            make_line("03",
                      "g3",
                      event_id::request_condemned,
                      {{"fingerprint", "bb"}, {"crashes", 3}}),
            make_line("04",
                      "g1",
                      event_id::request_answered_here,
                      {{"request", "r1"},
                       {"reason", "crashes_servers"},
                       {"fingerprint", "aa-bb"}}),
        };
        const std::optional<request_trace> got = trace_request("r1", crashes);
        REQUIRE(got->context.size() == 2);
        CHECK(got->context[0].fields["request"].asString() == "r0");
        CHECK(got->context[1].name == "request_condemned");
        CHECK(got->cause.find("servers crashed under it") != std::string::npos);
    }
    SECTION("of a request that went by another gateway, it shows both and why")
    {
        const std::vector<log_line> forwarded = {
            make_line("01", "g1", event_id::links_lost, {{"suspicion", "silence"}}),
            make_line("02", "g1", event_id::request_forwarded, {{"request", "r1"}}),
            make_line("03", "g2", event_id::forward_taken, {{"request", "r1"}}),
            make_line("04",
                      "g2",
                      event_id::request_answered_here,
                      {{"request", "r1"}, {"reason", "no_owner"}, {"not_run", true}}),
            make_line("05",
                      "g1",
                      event_id::forward_ended,
                      {{"request", "r1"}, {"end", "not_run"}}),
        };
        const std::optional<request_trace> got = trace_request("r1", forwarded);
        REQUIRE(got);
        CHECK(got->lines.size() == 4);
        REQUIRE(got->context.size() == 1);
        CHECK(got->context[0].name == "links_lost");
        CHECK(got->cause == "another gateway, which had it, answered it: not_run");
    }
    SECTION("the cause of an answered request is the status of the answer")
    {
        CHECK(trace_request("r2", log)->cause == "a server answered it with status 200");
    }
    SECTION("a request without log lines has no trace")
    {
        CHECK_FALSE(trace_request("r3", log));
    }
}

TEST_CASE("lines of other kinds are skipped, and a prefix of a log line is ignored")
{
    CHECK_FALSE(parse_log_line("listening 127.0.0.1:80"));
    CHECK_FALSE(parse_log_line("{\"a\":1}"));
    CHECK_FALSE(parse_log_line("{broken"));
    const std::string line =
        format_json_event(event_id::store_lost, "g1", "01", {{"n", 7}, {"s", "a\"b\n"}});
    const std::optional<log_line> got = parse_log_line("  12.5 front-1 " + line);
    REQUIRE(got);
    CHECK(format_line(*got) == "01 g1 store_lost n=7 s=a\"b\n");
}
