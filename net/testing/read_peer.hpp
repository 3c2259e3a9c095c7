#pragma once

// Reads what a raw_peer receives, while the loop runs.

#include "net/testing/raw_peer.hpp"
#include "net/testing/run_until.hpp"

#include <string>

namespace camphorrock::testing
{

// Reads up to `mark`, or to the end of the connection.
inline std::string read_until(event_loop& loop, raw_peer& peer, const std::string& mark)
{
    std::string got;
    run_until(loop,
              [&]
              {
                  got += peer.read_some();
                  return peer.is_ended() || got.find(mark) != std::string::npos;
              });
    return got;
}

// Reads up to the end of the connection.
inline std::string read_to_end(event_loop& loop, raw_peer& peer)
{
    std::string got;
    run_until(loop,
              [&]
              {
                  got += peer.read_some();
                  return peer.is_ended();
              });
    return got;
}

// Runs the loop for a while.
inline void run_for(event_loop& loop, duration time)
{
    const timer_handle end = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

} // namespace camphorrock::testing
