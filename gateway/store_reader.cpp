#include "gateway/store_reader.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration retry_pause = milliseconds(400);

} // namespace

store_reader::store_reader(event_loop& loop,
                           store_client& store,
                           std::string prefix,
                           store_freshness freshness,
                           snapshot_callback on_snapshot,
                           store_client::watch_callback on_change)
    : loop_(loop), store_(store), prefix_(std::move(prefix)), freshness_(freshness),
      on_snapshot_(std::move(on_snapshot)), on_change_(std::move(on_change))
{
    read_page("");
}

void store_reader::read_page(const std::string& after)
{
    store_page page;
    page.after = after;
    page.freshness = freshness_;
    store_.get_prefix(prefix_,
                      page,
                      [this, alive = std::weak_ptr<const bool>(alive_)](store_read got)
                      {
                          if (!alive.expired())
                          {
                              on_page(std::move(got));
                          }
                      });
}

void store_reader::on_page(store_read got)
{
    if (got.end != store_end::done)
    {
        entries_.clear();
        snapshot_revision_ = {};
        retry_timer_ = loop_.after(retry_pause, [this] { read_page(""); });
        return;
    }
    const bool is_older = snapshot_revision_.value == 0 || got.at < snapshot_revision_;
    snapshot_revision_ = is_older ? got.at : snapshot_revision_;
    for (store_entry& it : got.entries)
    {
        entries_.push_back(std::move(it));
    }
    if (got.has_more && !entries_.empty())
    {
        read_page(entries_.back().key);
        return;
    }
    has_snapshot_ = true;
    watch_start from{snapshot_revision_, {}};
    for (const store_entry& it : entries_)
    {
        from.initial_keys.push_back(it.key);
    }
    on_snapshot_(entries_);
    entries_ = {};
    watch_ = store_.watch(prefix_, std::move(from), on_change_);
}

} // namespace camphorrock
