#include "net/loop_monitor.hpp"
#include "net/testing/run_until.hpp"
#include "testing/test_headers.hpp"

#include <thread>

using namespace camphorrock;
using namespace camphorrock::testing;

TEST_CASE("a loop whose callback runs long is reported as late")
{
    const std::unique_ptr<event_loop> loop = event_loop::create().value();
    std::vector<duration> reports;
    const loop_monitor monitor(*loop, [&](duration late) { reports.push_back(late); });
    const timer_handle blocked = loop->after(
        milliseconds(1), [] { std::this_thread::sleep_for(milliseconds(500)); });
    testing::run_until(*loop, [&] { return !reports.empty(); });
    CHECK(reports.front() >= milliseconds(100));
}
