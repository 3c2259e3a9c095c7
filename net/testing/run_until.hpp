#pragma once

#include "net/event_loop.hpp"

#include <functional>

namespace camphorrock::testing
{

// Runs the loop until `is_met` returns true. Has no timeout: the test program's own limit
// ends a test in which it never does.
inline void run_until(event_loop& loop, const std::function<bool()>& is_met)
{
    const timer_handle poll_timer = loop.every(milliseconds(1),
                                               [&]
                                               {
                                                   if (is_met())
                                                   {
                                                       loop.stop();
                                                   }
                                               });
    loop.run();
}

} // namespace camphorrock::testing
