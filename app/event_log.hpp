#pragma once

// The program's log, written by spdlog to standard error, one line per event.
//
//     std::unique_ptr<event_log> log = event_log::to_stderr("router", severity::info);
//     log->write(event_id::program_ready, {{"address", bound}, {"zone", zone}});
//
//     2026-12-04T01:00:00.123Z info router 102 program_ready address=127.0.0.1:8080

#include "app/event_field.hpp"
#include "app/events.hpp"
#include "app/severity.hpp"

#include <initializer_list>
#include <memory>
#include <string>

namespace camphorrock
{

class event_log
{
public:
    virtual ~event_log() = default;

    // Writes one line, unless the event's severity is below the log's level.
    virtual void write(event_id id, std::initializer_list<field> fields) = 0;

    // Creates a log that writes to standard error, unbuffered.
    static std::unique_ptr<event_log> to_stderr(const std::string& program,
                                                severity level);
};

// Formats the part of a line after the program's name: "102 program_ready address=...".
std::string format_event(event_id id, std::initializer_list<field> fields);

} // namespace camphorrock
