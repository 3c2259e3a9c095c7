#pragma once

// The story of one request, out of the log files of several gateways: its own lines, and
// what the gateway that took it had last learnt of the servers that the request met and
// of the store.
//
//     std::optional<request_story> story = tell_story("9c41d07be2a35f68", lines);
//
// Reads JSON lines as json_event_log writes them; other lines are passed over.

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

struct log_line
{
    std::string time;
    std::string program;
    std::string name; // of the event
    Json::Value fields;
};

struct request_story
{
    std::vector<log_line> lines; // of the request, in the order of their times
    std::vector<log_line>
        context;       // last news of the servers and the store before its end
    std::string cause; // one sentence
};

// None for a line that is not one of a log.
std::optional<log_line> parse_log_line(const std::string& text);

// None where no line speaks of the request.
std::optional<request_story> tell_story(const std::string& request,
                                        const std::vector<log_line>& log);

// One line as text, without its end.
std::string line_text(const log_line& line);

} // namespace camphorrock
