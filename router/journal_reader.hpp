#pragma once

// Reads all journals of a shard from the store, page by page, so that the loop serves
// requests between two pages however long the journals are.
//
//     reader.read([](bool is_read, std::vector<stored_batch> batches) { ... });
//
// The pages are read one after the other, each of them after read() was called. A batch
// that is written meanwhile may be missing; its writer's journal then holds more than was
// read, which a fence of that journal meets as a conflict. One read at a time.

#include "core/once/journal_batch.hpp"
#include "router/router_parts.hpp"

#include <functional>
#include <vector>

namespace camphorrock
{

class journal_reader
{
public:
    // False: a page could not be read, or a batch in it; the batches are then not whole.
    using callback = std::function<void(bool, std::vector<stored_batch>)>;

    journal_reader(router_parts& parts, shard_id shard)
        : parts_(parts), shard_(std::move(shard))
    {
    }

    void read(callback done);

private:
    void read_page();
    void page_read(const store_read& got);
    bool take(const std::vector<store_entry>& entries);
    void size_next_page(const std::vector<store_entry>& entries);
    void end(bool is_read);

    router_parts& parts_;
    shard_id shard_;
    callback done_;
    std::vector<stored_batch> batches_;
    store_page page_;
    time_point asked_at_; // for the page
    std::size_t max_limit_ =
        0; // halved by a page that fails, doubled by one that does not
};

} // namespace camphorrock
