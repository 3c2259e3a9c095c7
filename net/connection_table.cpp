#include "net/connection_table.hpp"

#include <sys/socket.h>

#include <utility>

namespace camphorrock
{

result<std::unique_ptr<connection_table>> connection_table::create(event_loop& loop,
                                                                   mhd_runner& server)
{
    std::unique_ptr<connection_table> made(new connection_table(server));
    connection_table* self = made.get();
    auto on_hangup = [self](std::uint64_t connection_id)
    {
        self->handle_hangup(connection_id);
    };
    BOOST_LEAF_ASSIGN(made->hangups_, hangup_watch::create(loop, on_hangup));
    return made;
}

mhd_connection* connection_table::add(int fd)
{
    auto made = std::make_unique<mhd_connection>();
    made->id = ++last_id_;
    made->fd = fd;
    hangups_->add(fd, made->id);
    mhd_connection* it = made.get();
    connections_.emplace(it->id, std::move(made));
    return it;
}

void connection_table::erase(const mhd_connection& it)
{
    connections_.erase(it.id);
}

void connection_table::abort_all()
{
    for (auto& [connection_id, it] : connections_)
    {
        if (it->current_exchange)
        {
            it->current_exchange->on_disconnect = nullptr;
            it->current_exchange->decide(mhd_exchange::decision::abort, {});
            it->current_exchange->abort_stream();
        }
    }
}

void connection_table::close_idle()
{
    for (auto& [connection_id, it] : connections_)
    {
        if (!it->current_exchange && !it->is_closing)
        {
            it->is_closing = true;
            shutdown(it->fd, SHUT_RDWR);
        }
    }
}

void connection_table::handle_hangup(std::uint64_t connection_id)
{
    auto it = connections_.find(connection_id);
    if (it == connections_.end() || it->second->is_hung_up)
    {
        return; // shut_down_receiving() causes a second event
    }
    it->second->is_hung_up = true;
    server_.post([this, connection_id] { shut_down_receiving(connection_id); });
    if (it->second->current_exchange)
    {
        const std::shared_ptr<mhd_exchange> exchange = it->second->current_exchange;
        exchange->is_hung_up = true;
        exchange->report_disconnect();
        exchange->abort_stream();
    }
}

// After a short read, libmicrohttpd waits for the next event and misses an end of the
// connection that arrived together with the bytes. Shutting down the receiving side
// raises that event.
void connection_table::shut_down_receiving(std::uint64_t connection_id)
{
    auto it = connections_.find(connection_id);
    if (it != connections_.end())
    {
        shutdown(it->second->fd, SHUT_RD);
    }
}

} // namespace camphorrock
