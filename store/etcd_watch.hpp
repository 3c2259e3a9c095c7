#pragma once

// A watch of a prefix that recovers from broken and unresponsive connections, from
// outages, and from the compaction of revisions that it has not received. Each connection
// has a bounded lifetime, and the next one resumes after the last revision delivered, so
// that no change is missed or delivered twice.

#include "core/base/time.hpp"
#include "core/once/jittered_backoff.hpp"
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
               store_client::watch_callback on_changes,
               std::uint64_t seed);

    etcd_watch(const etcd_watch&) = delete;
    etcd_watch& operator=(const etcd_watch&) = delete;

    // Opens the first connection. The watch ends when the handle is destroyed.
    watch_handle start();

private:
    struct handle_state;

    void open();
    void stop();
    void close(); // without retry
    void on_piece(std::string_view piece);
    void on_line(std::string_view line);
    void on_message(watch_message message);
    void on_end(const exchange_result& got);
    void on_acknowledge_timeout();
    void schedule_retry();
    // Reads the whole prefix, to find the changes whose revisions are compacted.
    void read_prefix();
    void on_prefix_read(const call_answer& got);
    void deliver(std::vector<store_entry> changes);

    std::shared_ptr<etcd_caller> caller_;
    std::string prefix_;
    store_revision last_revision_; // all changes up to this revision are delivered
    store_client::watch_callback on_changes_;
    jittered_backoff backoff_;
    watched_keys known_keys_;
    std::string partial_line_; // the part of an incomplete line received so far
    std::optional<exchange_id> exchange_;
    bool is_acknowledged_ = false; // the store has acknowledged this connection's watch
    bool is_reread_due_ = false;   // the store has compacted undelivered revisions
    bool is_stopped_ = false;      // the handle was destroyed
    timer_handle timer_; // limits the wait for the acknowledgement, or delays a retry
};

} // namespace camphorrock
