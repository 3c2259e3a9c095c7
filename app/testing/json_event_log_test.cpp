#include "app/json_event_log.hpp"
#include "testing/test_headers.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <sstream>
#include <string>

using namespace camphorrock;

namespace
{

// A pipe that is read only by read_all().
struct pipe_fixture
{
    pipe_fixture()
    {
        REQUIRE(pipe2(ends, O_CLOEXEC | O_NONBLOCK) == 0);
    }

    ~pipe_fixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string read_all()
    {
        std::string got;
        char buf[4096];
        for (ssize_t n = read(ends[0], buf, sizeof buf); n > 0;
             n = read(ends[0], buf, sizeof buf))
        {
            got.append(buf, static_cast<std::size_t>(n));
        }
        return got;
    }

    int ends[2] = {-1, -1};
};

json_log_options options_for(const pipe_fixture& pipe, double burst)
{
    json_log_options made;
    made.program = "p";
    made.level = severity::debug;
    made.lines_per_second = 0;
    made.burst = burst;
    made.descriptor = pipe.ends[1];
    return made;
}

unsigned count_lines(const std::string& text)
{
    return static_cast<unsigned>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

TEST_CASE("events are written as JSON lines")
{
    pipe_fixture pipe;
    const auto log = make_json_event_log(options_for(pipe, 10));
    log->write(event_id::store_lost, {{"n", 7}, {"f", true}, {"s", "a \"b\"\n"}});
    const std::string got = pipe.read_all();
    CHECK(got.find("\"event\":229,\"name\":\"store_lost\"") != std::string::npos);
    CHECK(got.find("\"n\":7,\"f\":true,\"s\":\"a \\\"b\\\"\\u000a\"}\n") !=
          std::string::npos);
    CHECK(count_lines(got) == 1);
}

TEST_CASE("the log's volume is bounded, and lines of higher severity are dropped last")
{
    pipe_fixture pipe;
    const auto log = make_json_event_log(options_for(pipe, 40));
    for (int n = 0; n < 100; ++n)
    {
        log->write(event_id::request_sent, {{"n", n}});
    }
    CHECK(count_lines(pipe.read_all()) == 20);
    for (int n = 0; n < 100; ++n)
    {
        log->write(event_id::request_answered_here, {{"n", n}});
    }
    const std::string some = pipe.read_all();
    CHECK(count_lines(some) == 11); // one of them counts the dropped lines
    CHECK(some.find("\"lines\":80") != std::string::npos);
    for (int n = 0; n < 100; ++n)
    {
        log->write(event_id::store_lost, {{"n", n}});
    }
    CHECK(count_lines(pipe.read_all()) == 11);
}

TEST_CASE("the log does not block on a full pipe, and its lines stay whole")
{
    pipe_fixture pipe;
    const auto log = make_json_event_log(options_for(pipe, 100000));
    const std::string text(200, 'x');
    for (int n = 0; n < 2000; ++n)
    {
        log->write(event_id::store_lost, {{"text", text}});
    }
    const std::string first = pipe.read_all();
    CHECK(first.size() > 1000);
    log->write(event_id::store_lost, {{"text", "late"}});
    std::istringstream all(first + pipe.read_all());
    unsigned reports = 0;
    for (std::string line; std::getline(all, line);)
    {
        CHECK(line.front() == '{');
        CHECK(line.back() == '}');
        reports += line.find("lines_left_out") != std::string::npos ? 1 : 0;
    }
    CHECK(reports >= 1);
}
