#pragma once

// Follows one prefix of the store: reads it whole, then watches it from there on. Reads
// again until it has succeeded once.

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

    // `loop` and `store` must outlive the reader. `on_snapshot` is told of all that was
    // read first, `on_change` of each later change.
    store_reader(event_loop& loop,
                 store_client& store,
                 std::string prefix,
                 snapshot_callback on_snapshot,
                 store_client::watch_callback on_change);
    store_reader(const store_reader&) = delete;
    store_reader& operator=(const store_reader&) = delete;

    bool is_read() const
    {
        return is_read_;
    }

private:
    void read_page(const std::string& after);
    void on_page(store_read got);

    event_loop& loop_;
    store_client& store_;
    std::string prefix_;
    snapshot_callback on_snapshot_;
    store_client::watch_callback on_change_;
    std::vector<store_entry> entries_;
    store_revision first_at_; // of the first page: what came later is watched
    bool is_read_ = false;
    timer_handle retry_;
    watch_handle watch_;
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace camphorrock
