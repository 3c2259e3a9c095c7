#pragma once

// The open connections of a server, with the request that each carries, and the watch for
// callers that leave.

#include "core/base/result.hpp"
#include "net/event_loop.hpp"
#include "net/hangup_watch.hpp"
#include "net/mhd_exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace camphorrock
{

struct mhd_connection
{
    std::uint64_t number = 0; // never reused
    int fd = -1;
    std::shared_ptr<mhd_exchange> current; // from the request line to the whole answer
    bool is_hung_up = false;               // the other side has closed its half
    bool is_closing = false;               // closed by this side while it was idle
};

class connection_table
{
public:
    // `loop` and `server` must outlive the table.
    static result<std::unique_ptr<connection_table>> create(event_loop& loop,
                                                            mhd_runner& server);

    connection_table(const connection_table&) = delete;
    connection_table& operator=(const connection_table&) = delete;

    // Valid until erase().
    mhd_connection* add(int fd);
    void erase(const mhd_connection& it);

    std::size_t size() const
    {
        return rows_.size();
    }

    // Cuts every connection that carries a request, without telling its handler.
    void abort_all();

    // Closes every connection that carries no request.
    void close_idle();

private:
    explicit connection_table(mhd_runner& server) : server_(server) {}

    void hung_up(std::uint64_t number);
    void read_end(std::uint64_t number);

    mhd_runner& server_;
    std::unique_ptr<hangup_watch> hangups_;
    std::unordered_map<std::uint64_t, std::unique_ptr<mhd_connection>> rows_;
    std::uint64_t last_number_ = 0;
};

} // namespace camphorrock
