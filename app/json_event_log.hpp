#pragma once

// A log that writes one JSON object per line and event to standard output, and never
// blocks:
//
//     {"t":"2026-12-04T01:00:00.123456Z","level":"info","program":"gateway","event":102,
//      "name":"program_ready","address":"127.0.0.1:8080"}
//
// A token bucket bounds the volume: it gains `lines_per_second` tokens and holds at most
// `burst`. Lines beyond that, and lines that standard output does not accept at once, are
// dropped and counted. The next line that is written follows a lines_left_out event with
// their number. Lines of severity debug leave half of the burst to higher severities,
// lines of severity info leave a quarter.

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
    double burst = 400; // in lines
    int descriptor = 1; // standard output
};

// Creates the log and sets O_NONBLOCK on the descriptor.
std::unique_ptr<event_log> make_json_event_log(json_log_options options);

// Formats one line without a line break. `time` is written as it is.
std::string format_json_event(event_id id,
                              const std::string& program,
                              const std::string& time,
                              std::initializer_list<field> fields);

} // namespace camphorrock
