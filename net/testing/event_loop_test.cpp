#include "net/event_loop.hpp"
#include "testing/test_headers.hpp"

#include <csignal>

using namespace camphorrock;

TEST_CASE("the loop runs callbacks in order, and none whose handle was reset")
{
    std::unique_ptr<event_loop> loop = event_loop::create().value();
    std::string calls;

    SECTION("posted callbacks run in order, and those that they post run later")
    {
        loop->post(
            [&]
            {
                loop->post(
                    [&]
                    {
                        calls += "c";
                        loop->stop();
                    });
                calls += "a";
            });
        loop->post([&] { calls += "b"; });
        CHECK(calls.empty());
        loop->run();
        CHECK(calls == "abc");
    }

    SECTION("timers fire in the order of their times")
    {
        timer_handle last = loop->after(milliseconds(4),
                                        [&]
                                        {
                                            calls += "c";
                                            loop->stop();
                                        });
        timer_handle first = loop->after(milliseconds(1), [&] { calls += "a"; });
        timer_handle second = loop->after(milliseconds(2), [&] { calls += "b"; });
        timer_handle never = loop->after(milliseconds(3), [&] { calls += "!"; });
        never.reset();
        const time_point start = loop->now();
        loop->run();
        CHECK(calls == "abc");
        CHECK(loop->now() - start >= milliseconds(3));
    }

    SECTION("a handle may be reset within its own callback")
    {
        timer_handle beat;
        beat = loop->every(milliseconds(1),
                           [&]
                           {
                               calls += "a";
                               if (calls.size() == 3)
                               {
                                   beat.reset();
                                   calls += "b";
                               }
                           });
        timer_handle end = loop->after(milliseconds(20), [&] { loop->stop(); });
        loop->run();
        CHECK(calls == "aaab");
    }

    SECTION("a signal runs its callback on the loop")
    {
        watch_handle term = loop->on_signal(SIGUSR1,
                                            [&]
                                            {
                                                calls += "a";
                                                loop->stop();
                                            });
        loop->post([] { std::raise(SIGUSR1); });
        loop->run();
        CHECK(calls == "a");
    }
}
