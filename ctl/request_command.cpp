#include "app/command_line.hpp"
#include "codec/json_text.hpp"
#include "ctl/command.hpp"
#include "ctl/request_story.hpp"

#include <fstream>
#include <iostream>

namespace camphorrock
{
namespace
{

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

void print(const command_context& context, const request_story& story)
{
    if (context.is_json)
    {
        Json::Value value(Json::objectValue);
        value["lines"] = to_json(story.lines);
        value["context"] = to_json(story.context);
        value["cause"] = story.cause;
        context.out << write_json(value) << "\n";
        return;
    }
    context.out << "known before:\n";
    for (const log_line& it : story.context)
    {
        context.out << "  " << line_text(it) << "\n";
    }
    context.out << "the request:\n";
    for (const log_line& it : story.lines)
    {
        context.out << "  " << line_text(it) << "\n";
    }
    context.out << "cause: " << story.cause << "\n";
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
            context.faults << "cannot read " << name << "\n";
            return exit_bad_usage;
        }
    }
    const std::optional<request_story> story = tell_story(request, log);
    if (!story)
    {
        context.faults << "no line of " << log.size() << " speaks of request " << request
                       << "\n";
        return exit_failure;
    }
    print(context, *story);
    return exit_ok;
}

} // namespace camphorrock
