#include "net/http_server.hpp"

#include "net/connection_table.hpp"
#include "net/http_status.hpp"
#include "net/mhd_exchange.hpp"
#include "net/mhd_response.hpp"
#include "net/request_check.hpp"
#include "net/tcp_acceptor.hpp"

#include <microhttpd.h>
#include <unistd.h>

#include <utility>

namespace camphorrock
{
namespace
{

// libmicrohttpd's memory per connection holds the headers of a request and its answer.
constexpr std::size_t memory_per_header_byte = 2;

http_response make_refusal(const request_refusal& why)
{
    http_response made;
    made.status = why.status;
    made.headers.add("Content-Type", "text/plain");
    made.body = why.text + "\n";
    return made;
}

MHD_Result add_header(void* to, MHD_ValueKind, const char* name, const char* value)
{
    static_cast<http_headers*>(to)->add(name, value == nullptr ? "" : value);
    return MHD_YES;
}

std::size_t header_bytes_of(MHD_Connection* raw)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(raw, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    return info == nullptr ? 0 : info->header_size;
}

mhd_connection* connection_of(MHD_Connection* raw)
{
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(raw, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return static_cast<mhd_connection*>(info->socket_context);
}

class mhd_server : public http_server, public mhd_runner
{
public:
    mhd_server(event_loop& loop, http_server_options options, http_handler& handler)
        : loop_(loop), options_(std::move(options)), handler_(handler)
    {
    }

    ~mhd_server() override
    {
        is_shutting_down_ = true;
        if (acceptor_)
        {
            acceptor_->stop();
        }
        run_timer_.reset();
        daemon_watch_.reset();
        if (daemon_ != nullptr)
        {
            connections_->abort_all();
            MHD_run(daemon_);
            MHD_stop_daemon(daemon_);
        }
    }

    result<void> start()
    {
        BOOST_LEAF_ASSIGN(connections_, connection_table::create(loop_, *this));
        BOOST_LEAF_CHECK(start_daemon());
        auto on_connection = [this](int fd, const socket_address& from)
        {
            add_connection(fd, from);
        };
        BOOST_LEAF_ASSIGN(acceptor_,
                          tcp_acceptor::create(loop_, options_.address, on_connection));
        return {};
    }

    endpoint bound() const override
    {
        return acceptor_->bound();
    }

    void stop_accepting() override
    {
        acceptor_->stop();
    }

    void close_after_answers() override
    {
        closes_after_answers_ = true;
    }

    void close_idle() override
    {
        connections_->close_idle();
    }

    std::size_t in_flight() const override
    {
        return in_flight_;
    }

    std::size_t connections() const override
    {
        return connections_->size();
    }

    // libmicrohttpd closes its connections by itself.
    std::size_t lingering_connections() const override
    {
        return 0;
    }

    void schedule_run() override
    {
        if (!is_run_scheduled_)
        {
            is_run_scheduled_ = true;
            post(
                [this]
                {
                    is_run_scheduled_ = false;
                    run();
                });
        }
    }

    void post(std::function<void()> fn) override
    {
        loop_.post(
            [alive = std::weak_ptr<const bool>(alive_), fn = std::move(fn)]
            {
                if (!alive.expired())
                {
                    fn();
                }
            });
    }

private:
    result<void> start_daemon()
    {
        const std::size_t memory = memory_per_header_byte * options_.max_header_bytes;
        daemon_ = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
                                       MHD_USE_NO_LISTEN_SOCKET,
                                   0,
                                   nullptr,
                                   nullptr,
                                   &mhd_server::on_access,
                                   this,
                                   MHD_OPTION_CONNECTION_LIMIT,
                                   options_.max_connections + 1,
                                   MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                   memory,
                                   MHD_OPTION_CONNECTION_TIMEOUT,
                                   static_cast<unsigned>(options_.idle_timeout.count()),
                                   MHD_OPTION_STRICT_FOR_CLIENT,
                                   1,
                                   MHD_OPTION_SIGPIPE_HANDLED_BY_APP,
                                   1,
                                   MHD_OPTION_URI_LOG_CALLBACK,
                                   &mhd_server::on_request_line,
                                   this,
                                   MHD_OPTION_NOTIFY_COMPLETED,
                                   &mhd_server::on_completed,
                                   this,
                                   MHD_OPTION_NOTIFY_CONNECTION,
                                   &mhd_server::on_connection,
                                   this,
                                   MHD_OPTION_END);
        if (daemon_ == nullptr)
        {
            return fail(error_code::io, "cannot start a libmicrohttpd daemon");
        }
        const MHD_DaemonInfo* info =
            MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
        daemon_watch_ = loop_.on_readable(info->epoll_fd, [this] { run(); });
        return {};
    }

    void run()
    {
        MHD_run(daemon_);
        MHD_UNSIGNED_LONG_LONG wait_ms = 0;
        if (MHD_get_timeout(daemon_, &wait_ms) != MHD_YES)
        {
            return;
        }
        if (wait_ms == 0)
        {
            schedule_run();
        }
        else if (!run_timer_)
        {
            // The earliest idle timeout only ever moves later, so one timer is enough.
            run_timer_ = loop_.after(milliseconds(wait_ms),
                                     [this]
                                     {
                                         run_timer_.reset();
                                         run();
                                     });
        }
    }

    void add_connection(int fd, const socket_address& from)
    {
        if (connections_->size() >= options_.max_connections)
        {
            close(fd);
            return;
        }
        MHD_add_connection(daemon_, fd, from.raw(), from.size);
        schedule_run();
    }

    static void on_connection(void* self,
                              MHD_Connection* raw,
                              void** context,
                              MHD_ConnectionNotificationCode code)
    {
        connection_table& connections = *static_cast<mhd_server*>(self)->connections_;
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
        {
            const MHD_ConnectionInfo* info =
                MHD_get_connection_info(raw, MHD_CONNECTION_INFO_CONNECTION_FD);
            *context = connections.add(info->connect_fd);
        }
        else
        {
            connections.erase(*static_cast<mhd_connection*>(*context));
        }
    }

    static void* on_request_line(void* self, const char* target, MHD_Connection* raw)
    {
        auto exchange = std::make_shared<mhd_exchange>();
        exchange->server = static_cast<mhd_server*>(self);
        exchange->raw = raw;
        exchange->request.target = target;
        exchange->is_hung_up = connection_of(raw)->is_hung_up;
        connection_of(raw)->current_exchange = std::move(exchange);
        return nullptr;
    }

    static void
    on_completed(void* self, MHD_Connection* raw, void**, MHD_RequestTerminationCode)
    {
        std::shared_ptr<mhd_exchange> exchange =
            std::exchange(connection_of(raw)->current_exchange, nullptr);
        if (!exchange)
        {
            return;
        }
        auto* server = static_cast<mhd_server*>(self);
        server->in_flight_ -= exchange->is_handled ? 1 : 0;
        exchange->detach();
        server->post([exchange] { exchange->report_disconnect(); });
    }

    static MHD_Result on_access(void* self,
                                MHD_Connection* raw,
                                const char*,
                                const char* method,
                                const char*,
                                const char* piece,
                                std::size_t* piece_size,
                                void** context)
    {
        auto* server = static_cast<mhd_server*>(self);
        if (server->is_shutting_down_ || connection_of(raw)->is_closing)
        {
            return MHD_NO;
        }
        const std::shared_ptr<mhd_exchange> exchange =
            connection_of(raw)->current_exchange;
        if (*context == nullptr)
        {
            *context = exchange.get();
            exchange->request.method = method;
            exchange->is_head = exchange->request.method == MHD_HTTP_METHOD_HEAD;
            return server->check_headers(*exchange);
        }
        if (*piece_size != 0)
        {
            const std::string_view part(piece, *piece_size);
            *piece_size = 0;
            return server->add_body_piece(*exchange, part);
        }
        if (!exchange->is_handled)
        {
            return server->handle(exchange);
        }
        return server->apply_decision(exchange);
    }

    MHD_Result check_headers(mhd_exchange& exchange)
    {
        MHD_get_connection_values(
            exchange.raw, MHD_HEADER_KIND, add_header, &exchange.request.headers);
        const std::optional<request_refusal> why =
            check_request(exchange.request.headers,
                          header_bytes_of(exchange.raw),
                          {options_.max_header_bytes, options_.max_body_bytes});
        if (why)
        {
            return queue_answer(exchange, make_refusal(*why), true);
        }
        return MHD_YES;
    }

    // A chunked body that is too large is read, but not stored, up to twice the limit, so
    // that the caller can read the refusal. Beyond that the connection is closed.
    MHD_Result add_body_piece(mhd_exchange& exchange, std::string_view piece)
    {
        exchange.body_bytes += piece.size();
        if (exchange.body_bytes <= options_.max_body_bytes)
        {
            exchange.request.body.append(piece);
            return MHD_YES;
        }
        exchange.request.body = std::string();
        return exchange.body_bytes <= 2 * options_.max_body_bytes ? MHD_YES : MHD_NO;
    }

    MHD_Result handle(const std::shared_ptr<mhd_exchange>& exchange)
    {
        if (exchange->body_bytes > options_.max_body_bytes)
        {
            const request_refusal why{http_status::content_too_large,
                                      "the body is too large"};
            return queue_answer(*exchange, make_refusal(why), true);
        }
        exchange->is_handled = true;
        ++in_flight_;
        handler_.handle(std::move(exchange->request), make_responder(exchange));
        return apply_decision(exchange);
    }

    MHD_Result apply_decision(const std::shared_ptr<mhd_exchange>& exchange)
    {
        switch (exchange->decided)
        {
        case mhd_exchange::decision::answer:
            return queue_answer(*exchange,
                                std::move(exchange->answer),
                                closes_after_answers_ || acceptor_->is_stopped());
        case mhd_exchange::decision::stream:
            return queue_stream(exchange);
        case mhd_exchange::decision::abort:
            return MHD_NO;
        case mhd_exchange::decision::none:
            break;
        }
        exchange->suspend();
        return MHD_YES;
    }

    static MHD_Result queue_stream(const std::shared_ptr<mhd_exchange>& exchange)
    {
        const auto status = static_cast<unsigned>(exchange->answer.status);
        const mhd_response made = make_mhd_stream(exchange);
        return made ? MHD_queue_response(exchange->raw, status, made.get()) : MHD_NO;
    }

    static MHD_Result
    queue_answer(mhd_exchange& exchange, http_response answer, bool close_after)
    {
        const auto status = static_cast<unsigned>(answer.status);
        const mhd_response made =
            make_mhd_response(std::move(answer), exchange.is_head, close_after);
        return made ? MHD_queue_response(exchange.raw, status, made.get()) : MHD_NO;
    }

    event_loop& loop_;
    http_server_options options_;
    http_handler& handler_;
    MHD_Daemon* daemon_ = nullptr;
    std::unique_ptr<connection_table> connections_;
    std::unique_ptr<tcp_acceptor> acceptor_; // created last; null before
    std::size_t in_flight_ = 0;
    bool is_run_scheduled_ = false;
    bool closes_after_answers_ = false;
    bool is_shutting_down_ = false; // being destroyed: new requests are rejected
    watch_handle daemon_watch_;
    timer_handle run_timer_;
    // Ends with the server, so that callbacks posted before do not run after it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace

result<std::unique_ptr<http_server>>
http_server::create(event_loop& loop, http_server_options options, http_handler& handler)
{
    auto made = std::make_unique<mhd_server>(loop, std::move(options), handler);
    BOOST_LEAF_CHECK(made->start());
    return made;
}

} // namespace camphorrock
