#include "router/journal_reader.hpp"

#include "codec/journal_codec.hpp"
#include "core/once/once_options.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// Batches per page.
constexpr std::size_t initial_page_limit = 64;
constexpr std::size_t max_page_limit = 4096;

// Target sizes of a page's values. A page that takes longer than slow_page_time shows
// that the store is slow.
constexpr std::size_t target_page_bytes = 128 * kibibyte;
constexpr std::size_t slow_store_page_bytes = 2 * mebibyte;
constexpr duration slow_page_time = milliseconds(300);

} // namespace

void journal_reader::read(callback done)
{
    done_ = std::move(done);
    batches_.clear();
    page_limit_cap_ = page_limit_cap_ == 0 ? max_page_limit : page_limit_cap_;
    page_ = {{}, std::min(initial_page_limit, page_limit_cap_)};
    read_page();
}

void journal_reader::read_page()
{
    page_requested_at_ = context_.loop.now();
    context_.store.get_prefix(journal_prefix(shard_),
                              page_,
                              [this](const store_read& got) { on_page_read(got); });
}

void journal_reader::on_page_read(const store_read& got)
{
    if (got.end != store_end::done)
    {
        // The page may have been too large for one answer.
        page_limit_cap_ = std::max<std::size_t>(page_.limit / 2, 1);
        return finish(false);
    }
    if (!append_batches(got.entries))
    {
        return finish(false);
    }
    if (!got.has_more || got.entries.empty())
    {
        page_limit_cap_ = max_page_limit;
        return finish(true);
    }
    page_limit_cap_ = std::min(2 * page_limit_cap_, max_page_limit);
    page_.after = got.entries.back().key;
    size_next_page(got.entries);
    read_page();
}

bool journal_reader::append_batches(const std::vector<store_entry>& entries)
{
    return value_or_handle(
        [&]() -> result<bool>
        {
            for (const store_entry& it : entries)
            {
                BOOST_LEAF_AUTO(stored, parse_journal_key(shard_, it.key));
                BOOST_LEAF_ASSIGN(stored.batch, read_journal_batch(it.value));
                batches_.push_back(std::move(stored));
            }
            return true;
        },
        [&](const error& ec)
        {
            context_.log.write(event_id::journal_unreadable,
                               {{"shard", shard_}, {"fault", ec.text}});
            return false;
        });
}

void journal_reader::size_next_page(const std::vector<store_entry>& entries)
{
    std::size_t bytes = 1;
    for (const store_entry& it : entries)
    {
        bytes += it.value.size();
    }
    bool is_slow = context_.loop.now() - page_requested_at_ > slow_page_time;
    std::size_t target_bytes = is_slow ? slow_store_page_bytes : target_page_bytes;
    std::size_t fitting = entries.size() * target_bytes / bytes;
    page_.limit = std::clamp<std::size_t>(fitting, 1, page_limit_cap_);
}

void journal_reader::finish(bool is_read)
{
    callback done = std::exchange(done_, nullptr);
    done(is_read, std::exchange(batches_, {}));
}

} // namespace camphorrock
