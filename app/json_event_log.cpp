#include "app/json_event_log.hpp"

#include <fcntl.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <mutex>

namespace camphorrock
{
namespace
{

// Of the burst, what lines of a severity leave to those above it.
double reserved_part(severity level)
{
    switch (level)
    {
    case severity::debug:
        return 0.5;
    case severity::info:
        return 0.25;
    case severity::warning:
    case severity::error:
        break;
    }
    return 0;
}

constexpr std::size_t max_value_bytes = 256;

void append_json_text(std::string& out, std::string_view text)
{
    out += '"';
    for (char c : text.substr(0, max_value_bytes))
    {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
        {
            out += '\\';
            out += c;
        }
        else if (byte < 0x20 || byte >= 0x7f)
        {
            char buf[sizeof "\\u00ff"];
            std::snprintf(buf, sizeof buf, "\\u%04x", byte);
            out += buf;
        }
        else
        {
            out += c;
        }
    }
    out += '"';
}

void append_member(std::string& out, const field& item)
{
    out += ',';
    append_json_text(out, item.name);
    out += ':';
    if (item.is_number)
    {
        out += item.value;
    }
    else
    {
        append_json_text(out, item.value);
    }
}

std::string now_text()
{
    timespec at{};
    clock_gettime(CLOCK_REALTIME, &at);
    tm parts{};
    gmtime_r(&at.tv_sec, &parts);
    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
    char buf[64];
    std::snprintf(buf, sizeof buf, "%s.%06ldZ", date, at.tv_nsec / 1000);
    return buf;
}

// Writes to a descriptor that does not block. Keeps the rest of a line that was taken in
// part, so that lines stay whole.
class nonblocking_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit nonblocking_sink(int fd) : fd_(fd)
    {
        fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
    }

    std::uint64_t take_dropped()
    {
        return std::exchange(dropped_, 0);
    }

private:
    void sink_it_(const spdlog::details::log_msg& line) override
    {
        if (!write_rest())
        {
            ++dropped_;
            return;
        }
        rest_.assign(line.payload.data(), line.payload.size());
        rest_ += '\n';
        write_rest();
    }

    void flush_() override {}

    // True where nothing is left to write.
    bool write_rest()
    {
        while (!rest_.empty())
        {
            const ssize_t n = ::write(fd_, rest_.data(), rest_.size());
            if (n <= 0)
            {
                const bool is_lasting = n < 0 && errno != EAGAIN && errno != EINTR;
                rest_ = is_lasting ? std::string() : rest_;
                return is_lasting;
            }
            rest_.erase(0, static_cast<std::size_t>(n));
        }
        return true;
    }

    int fd_;
    std::string rest_;
    std::uint64_t dropped_ = 0;
};

class json_event_log : public event_log
{
public:
    explicit json_event_log(json_log_options options)
        : options_(std::move(options)),
          sink_(std::make_shared<nonblocking_sink>(options_.descriptor)),
          logger_(options_.program, sink_), saved_(options_.burst)
    {
    }

    void write(event_id id, std::initializer_list<field> fields) override
    {
        const severity level = row_of(id).level;
        if (level < options_.level)
        {
            return;
        }
        if (!take_line(level))
        {
            ++left_out_;
            return;
        }
        const std::uint64_t missing = left_out_ + sink_->take_dropped();
        left_out_ = 0;
        if (missing > 0)
        {
            print(event_id::lines_left_out, {{"lines", missing}});
        }
        print(id, fields);
    }

private:
    void print(event_id id, std::initializer_list<field> fields)
    {
        logger_.info(format_json_event(id, options_.program, now_text(), fields));
    }

    bool take_line(severity level)
    {
        timespec at{};
        clock_gettime(CLOCK_MONOTONIC, &at);
        const double now =
            static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
        saved_ += (now - last_) * options_.lines_per_second;
        saved_ = std::min(saved_, options_.burst);
        last_ = now;
        const double kept = reserved_part(level) * options_.burst;
        if (saved_ < kept + 1)
        {
            return false;
        }
        saved_ -= 1;
        return true;
    }

    json_log_options options_;
    std::shared_ptr<nonblocking_sink> sink_;
    spdlog::logger logger_;
    double saved_;
    double last_ = 0;
    std::uint64_t left_out_ = 0;
};

} // namespace

std::unique_ptr<event_log> make_json_event_log(json_log_options options)
{
    return std::make_unique<json_event_log>(std::move(options));
}

std::string format_json_event(event_id id,
                              const std::string& program,
                              const std::string& time,
                              std::initializer_list<field> fields)
{
    const event_row& row = row_of(id);
    std::string line = "{\"t\":\"" + time + "\",\"level\":\"";
    line.append(name_of(row.level)).append("\",\"program\":\"").append(program);
    line.append("\",\"event\":").append(std::to_string(static_cast<unsigned>(id)));
    line.append(",\"name\":\"").append(row.name).append("\"");
    for (const field& it : fields)
    {
        append_member(line, it);
    }
    return line + "}";
}

} // namespace camphorrock
