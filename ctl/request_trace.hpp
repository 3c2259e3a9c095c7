#pragma once

// Builds the trace of one request from the log files of several gateways: its own lines,
// and the latest events that its gateway had logged about the servers that the request
// was sent to and about the store.
//
//     std::optional<request_trace> trace = trace_request("9c41d07be2a35f68", lines);
//
// Reads JSON lines as json_event_log writes them; other lines are skipped.

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

struct log_line
{
    std::string time; // UTC, as text that sorts by time
    std::string program;
    std::string name;   // of the event
    Json::Value fields; // the whole line
};

struct request_trace
{
    std::vector<log_line> lines; // of the request, by time
    // The last event of each kind about its servers and the store before its end, and
    // the crashes under a request that is suspected of them, by time.
    std::vector<log_line> context;
    std::string cause; // of the outcome; one sentence
};

// Returns nullopt if the text holds no log line. Ignores a prefix before the JSON object.
std::optional<log_line> parse_log_line(const std::string& text);

// Returns nullopt if no line is about the request.
std::optional<request_trace> trace_request(const std::string& request,
                                           const std::vector<log_line>& log);

// Formats a line as text, without a trailing line break.
std::string format_line(const log_line& line);

} // namespace camphorrock
