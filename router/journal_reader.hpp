#pragma once

// Reads all journals of a shard from the store, page by page, so that the event loop
// serves requests between two pages even if the journals are long.
//
//     reader.read([](bool is_read, std::vector<stored_batch> batches) { ... });
//
// The pages are requested one after the other, all of them after read() was called. A
// batch that is written during the read may be missing. Its writer's journal is then
// longer than what was read, so that a fence of that journal fails with a conflict. Only
// one read may be in progress at a time.

#include "core/once/journal_batch.hpp"
#include "router/router_context.hpp"

#include <functional>
#include <vector>

namespace camphorrock
{

class journal_reader
{
public:
    // The first argument is false if a page or a batch could not be read; the batches are
    // then incomplete.
    using callback = std::function<void(bool, std::vector<stored_batch>)>;

    journal_reader(router_context& context, shard_id shard)
        : context_(context), shard_(std::move(shard))
    {
    }

    void read(callback done);

private:
    void read_page();
    void on_page_read(const store_read& got);
    bool append_batches(const std::vector<store_entry>& entries);
    void size_next_page(const std::vector<store_entry>& entries);
    void finish(bool is_read);

    router_context& context_;
    shard_id shard_;
    callback done_;
    std::vector<stored_batch> batches_;
    store_page page_;
    time_point page_requested_at_; // when the current page was requested
    // Batches per page at most; halved after a failed page, doubled after a successful
    // one. 0 before the first read.
    std::size_t page_limit_cap_ = 0;
};

} // namespace camphorrock
