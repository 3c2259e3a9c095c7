#include "router/journal_reader.hpp"

#include "codec/journal_codec.hpp"
#include "core/once/once_options.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t first_limit = 64;               // batches of the first page
constexpr std::size_t most_limit = 4096;              // batches of any page
constexpr std::size_t page_bytes = 128 * kibibyte;    // aimed at, of a page's values
constexpr std::size_t slow_page_bytes = 2 * mebibyte; // the same where the store is slow
constexpr duration slow_page = milliseconds(300);     // a page that takes longer is slow

} // namespace

void journal_reader::read(callback done)
{
    done_ = std::move(done);
    batches_.clear();
    max_limit_ = max_limit_ == 0 ? most_limit : max_limit_;
    page_ = {{}, std::min(first_limit, max_limit_)};
    read_page();
}

void journal_reader::read_page()
{
    asked_at_ = parts_.loop.now();
    parts_.store.get_prefix(
        journal_prefix(shard_), page_, [this](const store_read& got) { page_read(got); });
}

void journal_reader::page_read(const store_read& got)
{
    if (got.end != store_end::done)
    {
        // The page may have been too large for one answer.
        max_limit_ = std::max<std::size_t>(page_.limit / 2, 1);
        return end(false);
    }
    if (!take(got.entries))
    {
        return end(false);
    }
    if (!got.has_more || got.entries.empty())
    {
        max_limit_ = most_limit;
        return end(true);
    }
    max_limit_ = std::min(2 * max_limit_, most_limit);
    page_.after = got.entries.back().key;
    size_next_page(got.entries);
    read_page();
}

bool journal_reader::take(const std::vector<store_entry>& entries)
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
            parts_.log.write(event_id::journal_unreadable,
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
    bool is_slow = parts_.loop.now() - asked_at_ > slow_page;
    std::size_t wanted = is_slow ? slow_page_bytes : page_bytes;
    std::size_t fitting = entries.size() * wanted / bytes;
    page_.limit = std::clamp<std::size_t>(fitting, 1, max_limit_);
}

void journal_reader::end(bool is_read)
{
    callback done = std::exchange(done_, nullptr);
    done(is_read, std::exchange(batches_, {}));
}

} // namespace camphorrock
