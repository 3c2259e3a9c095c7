#include "app/command_line.hpp"
#include "codec/json_text.hpp"
#include "ctl/command.hpp"
#include "ctl/request_trace.hpp"

#include <fstream>
#include <iostream>

namespace camphorrock
{
namespace
{

// Appends the log lines of a stream; other lines are skipped.
void read_lines(std::istream& from, std::vector<log_line>& to)
{
    for (std::string text; std::getline(from, text);)
    {
        if (std::optional<log_line> line = parse_log_line(text))
        {
            to.push_back(std::move(*line));
        }
    }
}

// Returns false if the file cannot be read to its end.
bool read_file(const std::string& name, std::vector<log_line>& to)
{
    if (name == "-")
    {
        read_lines(std::cin, to);
        return true;
    }
    std::ifstream file(name);
    read_lines(file, to);
    return file.eof();
}

Json::Value to_json(const std::vector<log_line>& lines)
{
    Json::Value made(Json::arrayValue);
    for (const log_line& it : lines)
    {
        made.append(it.fields);
    }
    return made;
}

void print(const command_context& context, const request_trace& trace)
{
    if (context.is_json)
    {
        Json::Value value(Json::objectValue);
        value["lines"] = to_json(trace.lines);
        value["context"] = to_json(trace.context);
        value["cause"] = trace.cause;
        context.out << write_json(value) << "\n";
        return;
    }
    context.out << "last events before its end:\n";
    for (const log_line& it : trace.context)
    {
        context.out << "  " << format_line(it) << "\n";
    }
    context.out << "the request:\n";
    for (const log_line& it : trace.lines)
    {
        context.out << "  " << format_line(it) << "\n";
    }
    context.out << "cause: " << trace.cause << "\n";
}

} // namespace

int explain_request(const command_context& context,
                    const std::string& request,
                    const std::vector<std::string>& files)
{
    std::vector<log_line> log;
    for (const std::string& name : files)
    {
        if (!read_file(name, log))
        {
            context.errors << "cannot read " << name << "\n";
            return exit_bad_usage;
        }
    }
    const std::optional<request_trace> trace = trace_request(request, log);
    if (!trace)
    {
        context.errors << "none of " << log.size() << " log lines is about request "
                       << request << "\n";
        return exit_failure;
    }
    print(context, *trace);
    return exit_ok;
}

} // namespace camphorrock
