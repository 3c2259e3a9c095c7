#include "app/event_log.hpp"

#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace camphorrock
{
namespace
{

spdlog::level::level_enum to_spdlog(severity level)
{
    switch (level)
    {
    case severity::debug:
        return spdlog::level::debug;
    case severity::info:
        return spdlog::level::info;
    case severity::warning:
        return spdlog::level::warn;
    case severity::error:
        return spdlog::level::err;
    }
    return spdlog::level::err;
}

class stderr_event_log : public event_log
{
public:
    stderr_event_log(const std::string& program, severity level)
        : logger_(program, std::make_shared<spdlog::sinks::stderr_sink_st>())
    {
        logger_.set_level(to_spdlog(level));
        logger_.set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v",
                            spdlog::pattern_time_type::utc);
    }

    void write(event_id id, std::initializer_list<field> fields) override
    {
        spdlog::level::level_enum level = to_spdlog(row_of(id).level);
        if (logger_.should_log(level))
        {
            logger_.log(level, format_event(id, fields));
        }
    }

private:
    spdlog::logger logger_;
};

} // namespace

std::unique_ptr<event_log> event_log::to_stderr(const std::string& program,
                                                severity level)
{
    return std::make_unique<stderr_event_log>(program, level);
}

std::string format_event(event_id id, std::initializer_list<field> fields)
{
    std::string line = std::to_string(static_cast<unsigned>(id));
    line.append(" ").append(row_of(id).name);
    for (const field& it : fields)
    {
        line.append(" ").append(to_string(it));
    }
    return line;
}

} // namespace camphorrock
