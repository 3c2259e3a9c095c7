#pragma once

// A log of JSON lines on standard output, one line an event, that never waits:
//
//     {"t":"2026-12-04T01:00:00.123456Z","level":"info","program":"gateway","event":102,
//      "name":"program_ready","address":"127.0.0.1:8080"}
//
// Its volume is bounded: `lines_per_second`, with `burst` lines saved up. Lines beyond
// it, and lines that standard output does not take at once, are left out and counted; the
// next line that is written is preceded by event lines_left_out with their number. Lines
// of severity debug leave half of the burst to the others, those of info a quarter.

#include "app/event_log.hpp"
#include "core/base/result.hpp"

#include <memory>
#include <string>

namespace camphorrock
{

struct json_log_options
{
    std::string program;
    severity level = severity::info;
    double lines_per_second = 150;
    double burst = 400;
    int descriptor = 1; // standard output
};

// Makes the descriptor one that does not block.
std::unique_ptr<event_log> make_json_event_log(json_log_options options);

// One line, without its end.
std::string format_json_event(event_id id,
                              const std::string& program,
                              const std::string& time,
                              std::initializer_list<field> fields);

} // namespace camphorrock
