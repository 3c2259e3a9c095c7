#include "net/pipelined_server.hpp"

#include "net/hangup_watch.hpp"
#include "net/lingering_sockets.hpp"
#include "net/pipelined_connection.hpp"
#include "net/tcp_acceptor.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorrock
{
namespace
{

constexpr duration sweep_period = seconds(1);

class pipelined_http_server : public http_server, public pipelined_owner
{
public:
    pipelined_http_server(event_loop& loop,
                          pipelined_server_options options,
                          http_handler& handler)
        : loop_(loop), options_(std::move(options)), handler_(handler),
          lingering_(loop, options_.linger_timeout)
    {
    }

    ~pipelined_http_server() override
    {
        acceptor_.reset();
        for (const std::shared_ptr<pipelined_connection>& it : all())
        {
            it->abort();
        }
    }

    result<void> start()
    {
        BOOST_LEAF_ASSIGN(
            hangup_watch_,
            hangup_watch::create(loop_, [this](std::uint64_t id) { on_hangup(id); }));
        BOOST_LEAF_ASSIGN(acceptor_,
                          tcp_acceptor::create(loop_,
                                               options_.common.address,
                                               [this](int fd, const socket_address&)
                                               { add(fd); }));
        sweep_ = loop_.every(sweep_period, [this] { sweep(); });
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
        for (const std::shared_ptr<pipelined_connection>& it : all())
        {
            it->close_if_idle();
        }
    }

    std::size_t in_flight() const override
    {
        std::size_t sum = 0;
        for (const auto& [key, it] : connections_)
        {
            sum += it->in_flight();
        }
        return sum;
    }

    std::size_t connections() const override
    {
        return connections_.size();
    }

    std::size_t lingering_connections() const override
    {
        return lingering_.size();
    }

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        handler_.handle(std::move(request), std::move(responder));
    }

    bool is_draining() const override
    {
        return closes_after_answers_ || acceptor_->is_stopped();
    }

    void watch_hangup(pipelined_connection& it, int fd) override
    {
        const std::uint64_t id = ++last_hangup_id_;
        hangup_watched_.emplace(id, it.weak_from_this());
        hangup_watch_->add(fd, id);
    }

    void close_lingering(int fd) override
    {
        lingering_.add(fd);
    }

    void on_connection_closed(pipelined_connection& it) override
    {
        connections_.erase(&it);
    }

private:
    void on_hangup(std::uint64_t id)
    {
        const auto found = hangup_watched_.extract(id);
        const std::shared_ptr<pipelined_connection> it =
            found.empty() ? nullptr : found.mapped().lock();
        if (it)
        {
            it->on_hangup();
        }
    }

    void add(int fd)
    {
        if (connections_.size() + lingering_.size() >= options_.common.max_connections)
        {
            ::close(fd);
            return;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto made = std::make_shared<pipelined_connection>(loop_, fd, options_, *this);
        connections_.emplace(made.get(), made);
        made->start();
    }

    void sweep()
    {
        const time_point now = loop_.now();
        for (const std::shared_ptr<pipelined_connection>& it : all())
        {
            it->close_if_timed_out(now);
        }
        std::erase_if(hangup_watched_,
                      [](const auto& it) { return it.second.expired(); });
    }

    // Returns a copy, since connections may close while the caller iterates.
    std::vector<std::shared_ptr<pipelined_connection>> all() const
    {
        std::vector<std::shared_ptr<pipelined_connection>> made;
        for (const auto& [key, it] : connections_)
        {
            made.push_back(it);
        }
        return made;
    }

    event_loop& loop_;
    pipelined_server_options options_;
    http_handler& handler_;
    std::unordered_map<const pipelined_connection*, std::shared_ptr<pipelined_connection>>
        connections_;
    std::unique_ptr<hangup_watch> hangup_watch_;
    // Connections that have stopped reading at least once, by their id in the watch.
    std::unordered_map<std::uint64_t, std::weak_ptr<pipelined_connection>>
        hangup_watched_;
    std::uint64_t last_hangup_id_ = 0;
    lingering_sockets lingering_;
    std::unique_ptr<tcp_acceptor> acceptor_;
    timer_handle sweep_;
    bool closes_after_answers_ = false;
};

} // namespace

result<std::unique_ptr<http_server>> create_pipelined_server(
    event_loop& loop, pipelined_server_options options, http_handler& handler)
{
    auto made =
        std::make_unique<pipelined_http_server>(loop, std::move(options), handler);
    BOOST_LEAF_CHECK(made->start());
    return std::unique_ptr<http_server>(std::move(made));
}

} // namespace camphorrock
