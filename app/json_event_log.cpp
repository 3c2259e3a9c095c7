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

// Returns the fraction of the burst that lines of a severity leave to higher severities.
double reserved_fraction(severity level)
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

void append_json_string(std::string& out, std::string_view text)
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
    append_json_string(out, item.name);
    out += ':';
    if (item.is_unquoted)
    {
        out += item.value;
    }
    else
    {
        append_json_string(out, item.value);
    }
}

std::string format_now()
{
    timespec at{};
    clock_gettime(CLOCK_REALTIME, &at);
    tm utc{};
    gmtime_r(&at.tv_sec, &utc);
    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &utc);
    char buf[64];
    std::snprintf(buf, sizeof buf, "%s.%06ldZ", date, at.tv_nsec / 1000);
    return buf;
}

// Writes to a non-blocking descriptor. Keeps the rest of a line after a partial write and
// writes it before the next line, so that lines stay whole.
class nonblocking_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit nonblocking_sink(int fd) : fd_(fd)
    {
        fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
    }

    // Returns the number of lines dropped since the last call.
    std::uint64_t take_dropped_count()
    {
        return std::exchange(dropped_count_, 0);
    }

private:
    void sink_it_(const spdlog::details::log_msg& line) override
    {
        if (!write_pending())
        {
            ++dropped_count_;
            return;
        }
        pending_.assign(line.payload.data(), line.payload.size());
        pending_ += '\n';
        write_pending();
    }

    void flush_() override {}

    // Returns true if nothing is left to write, false if the descriptor accepts no more
    // now. After a permanent error the rest of the line is discarded.
    bool write_pending()
    {
        while (!pending_.empty())
        {
            const ssize_t n = ::write(fd_, pending_.data(), pending_.size());
            if (n <= 0)
            {
                const bool is_permanent = n < 0 && errno != EAGAIN && errno != EINTR;
                pending_ = is_permanent ? std::string() : pending_;
                return is_permanent;
            }
            pending_.erase(0, static_cast<std::size_t>(n));
        }
        return true;
    }

    int fd_;
    std::string pending_;             // the unwritten rest of a line
    std::uint64_t dropped_count_ = 0; // since take_dropped_count()
};

class json_event_log : public event_log
{
public:
    explicit json_event_log(json_log_options options)
        : options_(std::move(options)),
          sink_(std::make_shared<nonblocking_sink>(options_.descriptor)),
          logger_(options_.program, sink_), tokens_(options_.burst)
    {
    }

    void write(event_id id, std::initializer_list<field> fields) override
    {
        const severity level = row_of(id).level;
        if (level < options_.level)
        {
            return;
        }
        if (!take_token(level))
        {
            ++suppressed_count_;
            return;
        }
        const std::uint64_t dropped = suppressed_count_ + sink_->take_dropped_count();
        suppressed_count_ = 0;
        if (dropped > 0)
        {
            print(event_id::lines_left_out, {{"lines", dropped}});
        }
        print(id, fields);
    }

private:
    void print(event_id id, std::initializer_list<field> fields)
    {
        logger_.info(format_json_event(id, options_.program, format_now(), fields));
    }

    // Returns false if the bucket holds no token for that severity.
    bool take_token(severity level)
    {
        timespec at{};
        clock_gettime(CLOCK_MONOTONIC, &at);
        const double now =
            static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
        tokens_ += (now - refilled_at_seconds_) * options_.lines_per_second;
        tokens_ = std::min(tokens_, options_.burst);
        refilled_at_seconds_ = now;
        const double reserved = reserved_fraction(level) * options_.burst;
        if (tokens_ < reserved + 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    json_log_options options_;
    std::shared_ptr<nonblocking_sink> sink_;
    spdlog::logger logger_;
    double tokens_;                      // lines that may be written now
    double refilled_at_seconds_ = 0;     // on CLOCK_MONOTONIC
    std::uint64_t suppressed_count_ = 0; // lines without a token, not yet reported
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
