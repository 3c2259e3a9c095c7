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
    auto on_hangup = [self](std::uint64_t number)
    {
        self->hung_up(number);
    };
    BOOST_LEAF_ASSIGN(made->hangups_, hangup_watch::create(loop, on_hangup));
    return made;
}

mhd_connection* connection_table::add(int fd)
{
    auto made = std::make_unique<mhd_connection>();
    made->number = ++last_number_;
    made->fd = fd;
    hangups_->add(fd, made->number);
    mhd_connection* it = made.get();
    rows_.emplace(it->number, std::move(made));
    return it;
}

void connection_table::erase(const mhd_connection& it)
{
    rows_.erase(it.number);
}

void connection_table::abort_all()
{
    for (auto& [number, it] : rows_)
    {
        if (it->current)
        {
            it->current->on_gone = nullptr;
            it->current->decide(mhd_exchange::decision::abort, {});
            it->current->cut_stream();
        }
    }
}

void connection_table::close_idle()
{
    for (auto& [number, it] : rows_)
    {
        if (!it->current && !it->is_closing)
        {
            it->is_closing = true;
            shutdown(it->fd, SHUT_RDWR);
        }
    }
}

void connection_table::hung_up(std::uint64_t number)
{
    auto it = rows_.find(number);
    if (it == rows_.end() || it->second->is_hung_up)
    {
        return; // read_end() itself causes a second report
    }
    it->second->is_hung_up = true;
    server_.post([this, number] { read_end(number); });
    if (it->second->current)
    {
        const std::shared_ptr<mhd_exchange> exchange = it->second->current;
        exchange->is_hung_up = true;
        exchange->report_gone();
        exchange->cut_stream();
    }
}

// libmicrohttpd takes a short read for the last and misses an end of the connection that
// came with the bytes. Shutting the receiving side down reports it once more.
void connection_table::read_end(std::uint64_t number)
{
    auto it = rows_.find(number);
    if (it != rows_.end())
    {
        shutdown(it->second->fd, SHUT_RD);
    }
}

} // namespace camphorrock
