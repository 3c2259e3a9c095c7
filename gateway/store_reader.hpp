#pragma once

// Follows the store entries under one key prefix: reads all of them, page by page, and
// then watches for changes since the first page. A read that fails starts again from the
// first page after a pause.

#include "net/event_loop.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <string>
#include <vector>

namespace camphorrock
{

class store_reader
{
public:
    using snapshot_callback = std::function<void(const std::vector<store_entry>&)>;

    // `loop` and `store` must outlive the reader. Calls `on_snapshot` once with all
    // entries of the first complete read, then `on_change` with each later set of
    // changes, which can repeat what the snapshot holds. With may_be_stale, the snapshot
    // may lack the latest changes; they follow at once.
    store_reader(event_loop& loop,
                 store_client& store,
                 std::string prefix,
                 store_freshness freshness,
                 snapshot_callback on_snapshot,
                 store_client::watch_callback on_change);
    store_reader(const store_reader&) = delete;
    store_reader& operator=(const store_reader&) = delete;

    // True once the prefix has been read completely.
    bool has_snapshot() const
    {
        return has_snapshot_;
    }

private:
    void read_page(const std::string& after);
    void on_page(store_read got);

    event_loop& loop_;
    store_client& store_;
    std::string prefix_;
    store_freshness freshness_; // of the snapshot
    snapshot_callback on_snapshot_;
    store_client::watch_callback on_change_;
    std::vector<store_entry> entries_; // read so far; emptied after `on_snapshot_`
    store_revision snapshot_revision_; // of the oldest page; the watch starts after it
    bool has_snapshot_ = false;
    timer_handle retry_timer_;
    watch_handle watch_;
    // Expires with this object; pending callbacks of the store check it.
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
