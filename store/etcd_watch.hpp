#pragma once

// A watch of a prefix that survives broken and silent connections, outages and lost
// revisions. Each connection lives for a bounded time and the next one goes on after the
// last revision that was delivered, so that no change is missed or delivered twice.

#include "core/base/time.hpp"
#include "core/once/backoff.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "store/etcd_caller.hpp"
#include "store/etcd_json.hpp"
#include "store/store_client.hpp"
#include "store/watched_keys.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

class etcd_watch : public std::enable_shared_from_this<etcd_watch>
{
public:
    etcd_watch(std::shared_ptr<etcd_caller> caller,
               std::string prefix,
               const watch_start& from,
               store_client::watch_callback changed,
               std::uint64_t seed);

    etcd_watch(const etcd_watch&) = delete;
    etcd_watch& operator=(const etcd_watch&) = delete;

    // Opens the first connection. The watch ends with the handle.
    watch_handle start();

private:
    struct handle_state;

    void open();
    void stop();
    void close();
    void on_piece(std::string_view piece);
    void on_line(std::string_view line);
    void on_message(watch_message message);
    void on_end(const exchange_result& got);
    void on_no_start();
    void try_later();
    void read_anew();
    void on_read(const call_answer& got);
    void deliver(std::vector<store_entry> changes);

    std::shared_ptr<etcd_caller> caller_;
    std::string prefix_;
    store_revision last_; // the highest that was delivered
    store_client::watch_callback changed_;
    backoff backoff_;
    watched_keys known_;
    std::string unread_; // the start of a line
    std::optional<exchange_id> exchange_;
    bool is_started_ = false; // the store has acknowledged this connection's watch
    bool is_gap_ = false;     // revisions since last_ are lost
    bool is_stopped_ = false; // the handle is gone
    timer_handle timer_;
};

} // namespace camphorrock
