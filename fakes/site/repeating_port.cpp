#include "fakes/site/repeating_port.hpp"

#include "net/answer_text.hpp"
#include "net/peer_closed.hpp"
#include "net/request_parser.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <deque>
#include <optional>
#include <utility>

namespace camphorrock::fakes
{
namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
constexpr request_bounds bounds{std::size_t{64} * 1024, std::size_t{64} * 1024};

std::string request_id_of(const http_headers& headers)
{
    return std::string(headers.find("Request-Id").value_or(""));
}

} // namespace

class repeating_connection : public std::enable_shared_from_this<repeating_connection>
{
public:
    // Takes ownership of the descriptor.
    repeating_connection(repeating_port& port, int fd)
        : port_(port), fd_(fd), parser_(bounds)
    {
    }

    repeating_connection(const repeating_connection&) = delete;
    repeating_connection& operator=(const repeating_connection&) = delete;

    ~repeating_connection()
    {
        close();
    }

    void start()
    {
        read_watch_ = port_.loop_.on_readable(fd_, [this] { read_some(); });
    }

    bool is_disconnected() const
    {
        return fd_ < 0 || has_peer_closed(fd_);
    }

    void set_on_disconnect(std::function<void()> fn)
    {
        on_disconnect_ = std::move(fn);
    }

    void answer(const http_response& response)
    {
        if (fd_ < 0)
        {
            return;
        }
        on_disconnect_ = nullptr;
        std::string bytes;
        append_answer(bytes, response, false, false);
        const bool is_refusal = response.headers.find("Not-Executed").has_value() &&
                                response.headers.find("Request-Id").has_value();
        if (is_refusal && port_.decide_to_copy())
        {
            copy_ = {request_id_of(response.headers), response.status, {}, {}};
            copy_bytes_ = bytes;
        }
        send_or_end(bytes);
        is_busy_ = false;
        const std::weak_ptr<repeating_connection> weak = weak_from_this();
        port_.loop_.post(
            [weak]
            {
                if (const std::shared_ptr<repeating_connection> self = weak.lock())
                {
                    self->start_next();
                }
            });
    }

    // Closes the connection and tells the handler of the request that is being answered.
    void end()
    {
        const std::shared_ptr<repeating_connection> alive = shared_from_this();
        close();
        port_.connections_.erase(alive);
        if (const std::function<void()> report = std::exchange(on_disconnect_, nullptr))
        {
            report();
        }
    }

private:
    void read_some()
    {
        const std::shared_ptr<repeating_connection> alive = shared_from_this();
        char buf[read_buffer_bytes];
        const ssize_t n = recv(fd_, buf, sizeof buf, 0);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
        {
            return;
        }
        if (n <= 0)
        {
            end();
            return;
        }
        parser_.feed(std::string_view(buf, static_cast<std::size_t>(n)),
                     [this](parsed_request got)
                     { waiting_.push_back(std::move(got.request)); });
        if (parser_.refusal())
        {
            end();
            return;
        }
        start_next();
    }

    void start_next();

    void send_copy(const http_request& due)
    {
        if (!copy_)
        {
            return;
        }
        copy_->at = port_.loop_.now();
        copy_->due_request_id = request_id_of(due.headers);
        port_.copies_.push_back(*std::exchange(copy_, std::nullopt));
        send_or_end(copy_bytes_);
    }

    void send_or_end(const std::string& bytes)
    {
        const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n != static_cast<ssize_t>(bytes.size()))
        {
            end();
        }
    }

    void close()
    {
        read_watch_.reset();
        if (fd_ >= 0)
        {
            ::close(std::exchange(fd_, -1));
        }
    }

    repeating_port& port_;
    int fd_;
    request_parser parser_;
    std::deque<http_request> waiting_; // requests behind the one that is being answered
    bool is_busy_ = false;             // a request is being answered
    std::optional<refusal_copy> copy_; // to be written before the next answer
    std::string copy_bytes_;
    std::function<void()> on_disconnect_;
    watch_handle read_watch_;
};

namespace
{

// Streams are not supported: the connection ends.
class repeating_responder : public http_responder
{
public:
    explicit repeating_responder(std::weak_ptr<repeating_connection> to)
        : to_(std::move(to))
    {
    }

    ~repeating_responder() override
    {
        abort();
    }

    void respond(http_response answer) override
    {
        if (const std::shared_ptr<repeating_connection> to = take())
        {
            to->answer(answer);
        }
    }

    void start_stream(http_response /*head*/) override
    {
        abort();
    }

    void add_piece(std::string_view /*piece*/) override {}

    void end_stream() override {}

    void abort() override
    {
        if (const std::shared_ptr<repeating_connection> to = take())
        {
            to->end();
        }
    }

    void on_disconnect(std::function<void()> fn) override
    {
        if (const std::shared_ptr<repeating_connection> to = to_.lock())
        {
            to->set_on_disconnect(std::move(fn));
        }
    }

    bool is_disconnected() const override
    {
        const std::shared_ptr<repeating_connection> to = to_.lock();
        return !to || to->is_disconnected();
    }

private:
    // Null after the first call.
    std::shared_ptr<repeating_connection> take()
    {
        return std::exchange(to_, {}).lock();
    }

    std::weak_ptr<repeating_connection> to_;
};

} // namespace

void repeating_connection::start_next()
{
    if (is_busy_ || fd_ < 0 || waiting_.empty())
    {
        return;
    }
    const std::shared_ptr<repeating_connection> alive = shared_from_this();
    is_busy_ = true;
    http_request next = std::move(waiting_.front());
    waiting_.pop_front();
    send_copy(next);
    port_.handler_.handle(std::move(next),
                          std::make_shared<repeating_responder>(weak_from_this()));
}

result<std::unique_ptr<repeating_port>> repeating_port::create(
    event_loop& loop, const repeating_port_options& options, http_handler& handler)
{
    std::unique_ptr<repeating_port> made(new repeating_port(loop, options, handler));
    repeating_port* port = made.get();
    BOOST_LEAF_ASSIGN(made->acceptor_,
                      tcp_acceptor::create(
                          loop,
                          options.address,
                          [port](int fd, const socket_address&)
                          {
                              auto it = std::make_shared<repeating_connection>(*port, fd);
                              port->connections_.insert(it);
                              it->start();
                          }));
    return made;
}

repeating_port::repeating_port(event_loop& loop,
                               const repeating_port_options& options,
                               http_handler& handler)
    : loop_(loop), handler_(handler), copy_share_(options.copy_share),
      random_(options.seed)
{
}

repeating_port::~repeating_port()
{
    acceptor_.reset();
    close_connections();
}

void repeating_port::close_connections()
{
    while (!connections_.empty())
    {
        const std::shared_ptr<repeating_connection> first = *connections_.begin();
        first->end();
    }
}

bool repeating_port::decide_to_copy()
{
    return std::bernoulli_distribution(copy_share_)(random_);
}

} // namespace camphorrock::fakes
