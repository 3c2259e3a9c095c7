#include "app/json_event_log.hpp"
#include "ctl/request_story.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

log_line written(const char* time,
                 const char* program,
                 event_id id,
                 std::initializer_list<field> fields)
{
    return *parse_log_line(format_json_event(id, program, time, fields));
}

} // namespace

TEST_CASE("the log tells the story of a request")
{
    const std::vector<log_line> log = {
        written("02", "g1", event_id::server_gone, {{"server", "s1"}}),
        written("01", "g1", event_id::server_seen, {{"server", "s1"}}),
        written("03", "g2", event_id::store_lost, {{"store", "x"}}),
        written(
            "05", "g1", event_id::attempt_failed, {{"request", "r1"}, {"server", "s1"}}),
        written(
            "04", "g1", event_id::request_sent, {{"request", "r1"}, {"server", "s1"}}),
        written("06",
                "g1",
                event_id::request_answered_here,
                {{"request", "r1"}, {"reason", "server_lost"}, {"not_run", false}}),
        written("07", "g1", event_id::server_seen, {{"server", "s1"}}),
        written(
            "06", "g1", event_id::request_answered, {{"request", "r2"}, {"status", 200}}),
    };

    SECTION("its lines in the order of their times, and the cause")
    {
        const std::optional<request_story> got = tell_story("r1", log);
        REQUIRE(got);
        REQUIRE(got->lines.size() == 3);
        CHECK(got->lines[0].name == "request_sent");
        CHECK(got->cause.find("may have run it") != std::string::npos);
    }
    SECTION("with what its gateway knew of the server by then")
    {
        const std::optional<request_story> got = tell_story("r1", log);
        REQUIRE(got->context.size() == 2);
        CHECK(got->context[0].time == "01");
        CHECK(got->context[1].name == "server_gone");
    }
    SECTION("an answered one")
    {
        CHECK(tell_story("r2", log)->cause == "a server answered it with status 200");
    }
    SECTION("an unknown one has none")
    {
        CHECK_FALSE(tell_story("r3", log));
    }
}

TEST_CASE("other lines are passed over, and a prefix before a line does no harm")
{
    CHECK_FALSE(parse_log_line("listening 127.0.0.1:80"));
    CHECK_FALSE(parse_log_line("{\"a\":1}"));
    CHECK_FALSE(parse_log_line("{broken"));
    const std::string line =
        format_json_event(event_id::store_lost, "g1", "01", {{"n", 7}, {"s", "a\"b\n"}});
    const std::optional<log_line> got = parse_log_line("  12.5 front-1 " + line);
    REQUIRE(got);
    CHECK(line_text(*got) == "01 g1 store_lost n=7 s=a\"b\n");
}
