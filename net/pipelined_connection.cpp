#include "net/pipelined_connection.hpp"

#include "net/answer_text.hpp"
#include "net/http_status.hpp"
#include "net/peer_closed.hpp"
#include "net/pipelined_responder.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>
#include <vector>

namespace camphorrock
{
namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
constexpr const char* refusal_retry_after = "1"; // in seconds

} // namespace

pipelined_connection::pipelined_connection(event_loop& loop,
                                           int fd,
                                           const pipelined_server_options& options,
                                           pipelined_owner& owner)
    : loop_(loop), fd_(fd), options_(options), owner_(owner),
      parser_({options.common.max_header_bytes, options.common.max_body_bytes},
              options.memory),
      unsent_(options.memory, [this] { disconnect(); }), last_active_(loop.now())
{
}

pipelined_connection::~pipelined_connection()
{
    if (fd_ >= 0)
    {
        ::close(fd_);
    }
}

void pipelined_connection::start()
{
    update_read_watch();
}

void pipelined_connection::update_read_watch()
{
    const bool is_wanted = fd_ >= 0 && pending_answers_.size() < options_.max_pipelined;
    if (!is_wanted)
    {
        read_watch_.reset();
        notice_close_unread();
    }
    else if (!read_watch_)
    {
        read_watch_ = loop_.on_readable(fd_, [this] { read_some(); });
    }
}

// Without reading, so that a close is noticed behind requests that wait for earlier ones.
void pipelined_connection::notice_close_unread()
{
    if (fd_ < 0)
    {
        return;
    }
    if (has_peer_closed(fd_))
    {
        disconnect();
        return;
    }
    if (!is_hangup_watched_)
    {
        is_hangup_watched_ = true;
        owner_.watch_hangup(*this, fd_);
    }
}

void pipelined_connection::on_hangup()
{
    if (!read_watch_)
    {
        disconnect();
    }
}

void pipelined_connection::read_some()
{
    const std::shared_ptr<pipelined_connection> alive = shared_from_this();
    char buf[read_buffer_bytes];
    const ssize_t n = recv(fd_, buf, sizeof buf, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
    {
        return;
    }
    if (n <= 0)
    {
        disconnect();
        return;
    }
    last_active_ = loop_.now();
    if (!accepts_requests_)
    {
        return; // bytes after the last request are ignored
    }
    has_completed_request_ = false;
    const bool was_inside = parser_.is_in_request();
    parser_.feed(std::string_view(buf, static_cast<std::size_t>(n)),
                 [this](parsed_request got) { on_request(std::move(got)); });
    if (fd_ < 0)
    {
        return;
    }
    const bool is_same_request = was_inside && !has_completed_request_;
    request_started_ = is_same_request ? request_started_ : last_active_;
    if (parser_.take_expect_continue() && pending_answers_.empty())
    {
        interim_bytes_ += "HTTP/1.1 100 Continue\r\n\r\n";
        schedule_flush();
    }
    if (parser_.refusal() && accepts_requests_)
    {
        refuse(*parser_.refusal());
    }
    update_read_watch();
}

void pipelined_connection::on_request(parsed_request got)
{
    if (!accepts_requests_ || fd_ < 0)
    {
        return;
    }
    has_completed_request_ = true;
    auto pending = std::make_shared<pending_answer>();
    pending->is_last = got.is_last;
    pending->is_head = got.request.method == "HEAD";
    accepts_requests_ = !got.is_last;
    pending_answers_.push_back(pending);
    owner_.handle(std::move(got.request),
                  std::make_shared<pipelined_responder>(weak_from_this(), pending));
}

void pipelined_connection::refuse(const request_refusal& why)
{
    accepts_requests_ = false;
    auto pending = std::make_shared<pending_answer>();
    pending->is_last = true;
    pending->is_decided = true;
    pending_answers_.push_back(pending);
    http_response made;
    made.status = why.status;
    made.headers.add("Content-Type", "text/plain");
    if (why.status == http_status::unavailable)
    {
        made.headers.add("Retry-After", refusal_retry_after);
    }
    made.body = why.text + "\n";
    answer(*pending, made);
}

void pipelined_connection::answer(pending_answer& it, const http_response& response)
{
    const bool is_newest =
        !pending_answers_.empty() && pending_answers_.back().get() == &it;
    if (owner_.is_draining() && is_newest && !parser_.is_in_request())
    {
        it.is_last = true;
        accepts_requests_ = false;
    }
    append_answer(it.bytes, response, it.is_head, it.is_last);
    it.is_complete = true;
    on_bytes_added();
}

void pipelined_connection::begin_stream(pending_answer& it, const http_response& response)
{
    append_stream_head(it.bytes, response, it.is_last);
    it.is_chunked = true;
    on_bytes_added();
}

void pipelined_connection::on_bytes_added()
{
    count_unsent();
    schedule_flush();
}

bool pipelined_connection::is_open() const
{
    return fd_ >= 0;
}

bool pipelined_connection::is_client_gone() const
{
    return fd_ < 0 || has_peer_closed(fd_);
}

void pipelined_connection::post(std::function<void()> fn)
{
    loop_.post(std::move(fn));
}

void pipelined_connection::schedule_flush()
{
    if (!is_flush_scheduled_ && fd_ >= 0)
    {
        is_flush_scheduled_ = true;
        loop_.post(
            [weak = weak_from_this()]
            {
                if (const std::shared_ptr<pipelined_connection> self = weak.lock())
                {
                    self->is_flush_scheduled_ = false;
                    self->flush();
                }
            });
    }
}

void pipelined_connection::flush()
{
    const std::shared_ptr<pipelined_connection> alive = shared_from_this();
    send_answers();
    count_unsent();
}

void pipelined_connection::count_unsent()
{
    std::size_t sum = 0;
    for (const std::shared_ptr<pending_answer>& it : pending_answers_)
    {
        sum += it->bytes.size();
    }
    unsent_.set(sum);
}

// Sends the answers in order, up to the first that is incomplete.
void pipelined_connection::send_answers()
{
    write_watch_.reset();
    if (fd_ < 0 || !send_bytes(interim_bytes_))
    {
        return;
    }
    while (!pending_answers_.empty())
    {
        pending_answer& first = *pending_answers_.front();
        if (!send_bytes(first.bytes))
        {
            return;
        }
        if (!first.is_complete)
        {
            break;
        }
        const bool is_end = first.is_aborted || first.is_last;
        last_active_ = loop_.now();
        pending_answers_.pop_front();
        if (is_end)
        {
            end_answers();
            return;
        }
    }
    update_read_watch();
}

// True if all bytes were sent. Otherwise the rest is sent when the socket is writable, or
// the connection has closed.
bool pipelined_connection::send_bytes(std::string& bytes)
{
    while (!bytes.empty())
    {
        const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        if (n < 0 && errno == EAGAIN)
        {
            write_watch_ = loop_.on_writable(fd_, [this] { flush(); });
            return false;
        }
        if (n <= 0)
        {
            disconnect();
            return false;
        }
        bytes.erase(0, static_cast<std::size_t>(n));
    }
    return true;
}

// Closes the connection and calls the on_disconnect callbacks of its requests.
void pipelined_connection::disconnect()
{
    const std::deque<std::shared_ptr<pending_answer>> left = pending_answers_;
    close();
    report_disconnect(left);
}

// The operating system may still have to deliver the answers. Requests behind an aborted
// answer get none.
void pipelined_connection::end_answers()
{
    const std::shared_ptr<pipelined_connection> alive = shared_from_this();
    const std::deque<std::shared_ptr<pending_answer>> left = pending_answers_;
    if (const std::optional<int> fd = take_socket())
    {
        owner_.close_lingering(*fd);
    }
    report_disconnect(left);
}

void pipelined_connection::report_disconnect(
    const std::deque<std::shared_ptr<pending_answer>>& requests)
{
    for (const std::shared_ptr<pending_answer>& it : requests)
    {
        if (const std::function<void()> report =
                std::exchange(it->on_disconnect, nullptr))
        {
            report();
        }
    }
}

void pipelined_connection::close()
{
    if (const std::optional<int> fd = take_socket())
    {
        ::close(*fd);
    }
}

// Ends the connection without closing its descriptor. Empty if it has ended before.
std::optional<int> pipelined_connection::take_socket()
{
    if (fd_ < 0)
    {
        return std::nullopt;
    }
    const std::shared_ptr<pipelined_connection> alive = shared_from_this();
    read_watch_.reset();
    write_watch_.reset();
    pending_answers_.clear();
    const int fd = std::exchange(fd_, -1);
    owner_.on_connection_closed(*this);
    return fd;
}

void pipelined_connection::abort()
{
    for (const std::shared_ptr<pending_answer>& it : pending_answers_)
    {
        it->on_disconnect = nullptr;
    }
    close();
}

void pipelined_connection::close_if_idle()
{
    if (pending_answers_.empty() && !parser_.is_in_request())
    {
        end_answers();
    }
}

void pipelined_connection::close_if_timed_out(time_point now)
{
    const bool is_slow = accepts_requests_ && parser_.is_in_request() &&
                         now - request_started_ > options_.request_timeout;
    const bool is_idle = pending_answers_.empty() && !parser_.is_in_request() &&
                         now - last_active_ > options_.common.idle_timeout;
    if (is_slow)
    {
        refuse({http_status::request_timeout, "the request took too long"});
    }
    else if (is_idle)
    {
        end_answers();
    }
}

} // namespace camphorrock
