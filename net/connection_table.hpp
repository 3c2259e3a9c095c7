#pragma once

// The open connections of a server, the request that each of them carries, and the
// detection of callers that close their side.

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
    std::uint64_t id = 0; // never reused
    int fd = -1;
    // Set from the request line until the answer is sent.
    std::shared_ptr<mhd_exchange> current_exchange;
    bool is_hung_up = false; // the caller has closed its sending side
    bool is_closing = false; // closed by this side while it was idle
};

class connection_table
{
public:
    // `loop` and `server` must outlive the table.
    static result<std::unique_ptr<connection_table>> create(event_loop& loop,
                                                            mhd_runner& server);

    connection_table(const connection_table&) = delete;
    connection_table& operator=(const connection_table&) = delete;

    // The result is valid until erase().
    mhd_connection* add(int fd);
    void erase(const mhd_connection& it);

    std::size_t size() const
    {
        return connections_.size();
    }

    // Aborts every connection that carries a request, without its on_disconnect callback.
    void abort_all();

    // Closes every connection that carries no request.
    void close_idle();

private:
    explicit connection_table(mhd_runner& server) : server_(server) {}

    void handle_hangup(std::uint64_t id);
    void shut_down_receiving(std::uint64_t id);

    mhd_runner& server_;
    std::unique_ptr<hangup_watch> hangups_;
    std::unordered_map<std::uint64_t, std::unique_ptr<mhd_connection>> connections_;
    std::uint64_t last_id_ = 0;
};

} // namespace camphorrock
