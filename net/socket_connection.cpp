#include "net/socket_connection.hpp"

#include "net/http_status.hpp"
#include "net/socket_address.hpp"
#include "net/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace camphorrock
{
namespace
{

// How long after the end of an answer a reset of its connection may arrive.
constexpr duration max_reset_delay = milliseconds(100);
constexpr std::size_t buffer_bytes = std::size_t{32} * 1024;

bool is_to_wait(int ec)
{
    return ec == EAGAIN || ec == EWOULDBLOCK || ec == EINTR;
}

std::optional<socket_address> address_of(const endpoint& text)
{
    return value_or_handle([&]() -> result<std::optional<socket_address>>
                           { return parse_address(text); },
                           [](const error&) { return std::optional<socket_address>(); });
}

// Port 0: the system chooses one when the socket connects.
endpoint source_endpoint(const std::string& ip)
{
    const bool is_ipv6 = ip.find(':') != std::string::npos;
    return endpoint(is_ipv6 ? "[" + ip + "]:0" : ip + ":0");
}

// Returns 0 or the system's error.
int bind_source(int fd, const std::string& ip)
{
    const std::optional<socket_address> source = address_of(source_endpoint(ip));
    if (!source)
    {
        return EINVAL;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    return bind(fd, source->raw(), source->size) == 0 ? 0 : errno;
}

bool is_writable(int fd)
{
    pollfd it{fd, POLLOUT, 0};
    return poll(&it, 1, 0) > 0;
}

int error_of(int fd)
{
    int ec = 0;
    socklen_t size = sizeof ec;
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &size);
    return ec;
}

iovec part_of(std::string_view bytes)
{
    return {const_cast<char*>(bytes.data()), bytes.size()};
}

} // namespace

std::unique_ptr<socket_connection>
socket_connection::open(event_loop& loop,
                        const endpoint& to,
                        const http_client_options& client,
                        socket_connection_owner& owner)
{
    const std::optional<socket_address> address = address_of(to);
    if (!address)
    {
        return nullptr;
    }
    const int fd =
        socket(address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
    {
        return nullptr;
    }
    std::unique_ptr<socket_connection> made(new socket_connection(loop, to, fd, owner));
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    set_socket_options(fd, client);
    made->connect_error_ = client.source.empty() ? 0 : bind_source(fd, client.source);
    if (made->connect_error_ == 0 && ::connect(fd, address->raw(), address->size) != 0)
    {
        made->connect_error_ = errno == EINPROGRESS ? 0 : errno;
    }
    return made;
}

socket_connection::socket_connection(event_loop& loop,
                                     endpoint to,
                                     int fd,
                                     socket_connection_owner& owner)
    : loop_(loop), to_(std::move(to)), fd_(fd), owner_(owner)
{
}

socket_connection::~socket_connection()
{
    read_watch_.reset();
    write_watch_.reset();
    ::close(fd_);
}

void socket_connection::start(duration connect_timeout)
{
    if (connect_error_ != 0 || is_writable(fd_))
    {
        check_connected();
        return;
    }
    write_watch_ = loop_.on_writable(fd_, [this] { check_connected(); });
    connect_limit_ = loop_.after(connect_timeout, [this] { fail(ETIMEDOUT); });
}

void socket_connection::check_connected()
{
    const int ec = connect_error_ != 0 ? connect_error_ : error_of(fd_);
    if (ec != 0)
    {
        fail(ec);
        return;
    }
    connect_limit_.reset();
    write_watch_.reset();
    read_watch_ = loop_.on_readable(fd_, [this] { read(); });
    owner_.on_connection_opened(*this);
}

void socket_connection::fail(int ec)
{
    connect_limit_.reset();
    write_watch_.reset();
    owner_.on_connection_failed(*this, ec == ECONNREFUSED);
}

bool socket_connection::is_clean() const
{
    char byte = 0;
    return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && is_to_wait(errno);
}

bool socket_connection::send(std::string head,
                             std::string_view body,
                             answer_rules rules,
                             memory_claim& memory)
{
    head_ = std::move(head);
    body_ = body;
    sent_bytes_ = 0;
    is_send_broken_ = false;
    has_ended_ = false;
    is_early_ = false;
    is_broken_ = false;
    has_excess_ = false;
    parser_.emplace(std::move(rules), memory);
    const bool is_open = write();
    if (!is_open && !has_sent())
    {
        return false;
    }
    if (is_open && !is_all_sent())
    {
        write_watch_ = loop_.on_writable(fd_, [this] { write_more(); });
    }
    return true;
}

bool socket_connection::is_all_sent() const
{
    return sent_bytes_ == head_.size() + body_.size();
}

// Writes what the system takes. Returns false if the connection broke. What the other
// side sent before can still be read then. The system reports a reset only once: if that
// is here, the end of what can be read looks orderly.
bool socket_connection::write()
{
    const std::size_t head_sent = std::min(sent_bytes_, head_.size());
    const std::size_t body_sent = sent_bytes_ - head_sent;
    iovec parts[] = {part_of(std::string_view(head_).substr(head_sent)),
                     part_of(body_.substr(body_sent))};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = std::size(parts);
    const ssize_t n = sendmsg(fd_, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n >= 0)
    {
        sent_bytes_ += static_cast<std::size_t>(n);
        return true;
    }
    is_send_broken_ = !is_to_wait(errno);
    return !is_send_broken_;
}

void socket_connection::write_more()
{
    const bool is_over = !write() || is_all_sent();
    if (!is_over)
    {
        return;
    }
    is_broken_ = is_broken_ || is_reset_behind_end();
    write_watch_.reset();
    const bool is_answered = parser_->state() != answer_state::incomplete;
    if (is_answered)
    {
        end_answer();
    }
}

void socket_connection::read()
{
    if (!parser_)
    {
        owner_.on_idle_ended(*this);
        return;
    }
    char buf[buffer_bytes];
    const ssize_t n = recv(fd_, buf, sizeof buf, MSG_DONTWAIT);
    if (n < 0 && is_to_wait(errno))
    {
        return;
    }
    const bool is_answered = parser_->state() != answer_state::incomplete;
    if (is_answered)
    {
        // Bytes, or the end, behind an answer that came before the request was sent.
        end_answer();
        return;
    }
    is_early_ = is_early_ || !is_all_sent();
    has_ended_ = n == 0;
    is_broken_ = n < 0 || is_reset_behind_end();
    parse({buf, static_cast<std::size_t>(std::max<ssize_t>(n, 0))});
    on_parsed();
}

// No bytes stand for the end of the connection.
void socket_connection::parse(std::string_view bytes)
{
    if (is_broken_)
    {
        return;
    }
    if (bytes.empty())
    {
        parser_->feed_end();
        return;
    }
    has_excess_ = parser_->feed(bytes) < bytes.size();
}

void socket_connection::on_parsed()
{
    const bool is_over = is_broken_ || parser_->state() != answer_state::incomplete;
    if (!is_over)
    {
        owner_.on_pieces_arrived(*this);
        return;
    }
    // The rest of a request is not sent after an answer of an error, and is after others.
    const bool is_sending = !is_all_sent() && !is_send_broken_;
    if (is_accepted() && has_ended_ && is_early_)
    {
        await_reset();
        return;
    }
    if (is_accepted() && is_sending)
    {
        return;
    }
    write_watch_.reset();
    end_answer();
}

// True after a whole answer that is not an error.
bool socket_connection::is_accepted() const
{
    return state() == answer_state::complete &&
           parser_->status() < http_status::bad_request;
}

// A server that has accepted a request may read the rest of it behind its answer.
void socket_connection::end_answer()
{
    if (is_accepted() && is_all_sent() && !body_.empty() && !is_reusable())
    {
        deliver_behind_close(fd_);
    }
    owner_.on_answer_ended(*this);
}

// True if the other side has ended its direction and then reset the connection.
bool socket_connection::is_reset_behind_end() const
{
    return has_ended_ && (is_send_broken_ || error_of(fd_) != 0);
}

// The answer, which began before the request was sent, has ended with the other side's
// direction of the connection. A server that has closed both, or has crashed within the
// answer, resets the connection when more of the request arrives.
void socket_connection::await_reset()
{
    read_watch_.reset();
    reset_limit_ = loop_.after(max_reset_delay,
                               [this]
                               {
                                   write_watch_.reset();
                                   is_broken_ = is_reset_behind_end();
                                   end_answer();
                               });
}

answer_state socket_connection::state() const
{
    return is_broken_ ? answer_state::invalid : parser_->state();
}

answer_fault socket_connection::fault() const
{
    return is_broken_ ? answer_fault::none : parser_->fault();
}

std::size_t socket_connection::answer_bytes() const
{
    return parser_->answer_bytes();
}

http_response socket_connection::take_answer()
{
    return parser_->take_answer();
}

std::string socket_connection::take_pieces()
{
    return parser_->take_pieces();
}

bool socket_connection::is_reusable() const
{
    return state() == answer_state::complete && parser_->is_connection_kept() &&
           is_all_sent() && !is_early_ && !has_excess_;
}

void socket_connection::begin_idle()
{
    exchange_ = 0;
    parser_.reset();
    head_.clear();
    body_ = {};
    sent_bytes_ = 0;
}

} // namespace camphorrock
