#include "gateway/verdict_store.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphorrock
{
namespace
{

// Both fingerprints of a request are condemned within it.
constexpr duration save_delay = milliseconds(100);
constexpr duration retry_delay = seconds(1);
constexpr std::size_t max_verdicts = 256; // the newest
constexpr milliseconds verdict_retention = std::chrono::hours(24);

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

std::vector<stored_verdict> verdicts_of(const store_read& got)
{
    return got.entries.empty() ? std::vector<stored_verdict>()
                               : decode_verdicts(got.entries.front().value);
}

bool has_ended(const stored_verdict& it)
{
    return it.at_ms + static_cast<std::uint64_t>(verdict_retention.count()) <= unix_ms();
}

} // namespace

void verdict_store::load(loaded_callback done)
{
    store_.get(verdicts_key,
               [done = std::move(done),
                alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
               {
                   if (alive.expired() || got.end != store_end::done)
                   {
                       return;
                   }
                   std::vector<suspect_row> rows;
                   for (const stored_verdict& it : verdicts_of(got))
                   {
                       if (!has_ended(it))
                       {
                           rows.push_back(it.row);
                       }
                   }
                   done(rows);
               });
}

void verdict_store::save(const std::vector<suspect_row>& rows)
{
    for (const suspect_row& it : rows)
    {
        unsaved_[it.fingerprint] = it.crashes;
    }
    schedule_save(save_delay);
}

void verdict_store::schedule_save(duration delay)
{
    const bool is_due = !unsaved_.empty() && !is_saving_ && !save_timer_;
    if (is_due)
    {
        save_timer_ = loop_.after(delay, [this] { read_to_save(); });
    }
}

void verdict_store::read_to_save()
{
    save_timer_.reset();
    is_saving_ = true;
    store_.get(verdicts_key,
               [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
               {
                   if (alive.expired())
                   {
                       return;
                   }
                   if (got.end != store_end::done)
                   {
                       is_saving_ = false;
                       schedule_save(retry_delay);
                       return;
                   }
                   write(got);
               });
}

void verdict_store::write(const store_read& got)
{
    const store_revision expected =
        got.entries.empty() ? store_revision{} : got.entries.front().revision;
    const std::map<std::uint64_t, unsigned> written = unsaved_;
    store_.compare_and_swap(
        verdicts_key,
        expected,
        encode_verdicts(merged(got)),
        {},
        [this, written, alive = std::weak_ptr<const bool>(alive_)](const store_write& it)
        {
            if (alive.expired())
            {
                return;
            }
            is_saving_ = false;
            if (it.end == store_end::done)
            {
                std::erase_if(unsaved_,
                              [&](const auto& row)
                              {
                                  const auto found = written.find(row.first);
                                  return found != written.end() &&
                                         found->second == row.second;
                              });
            }
            schedule_save(retry_delay);
        });
}

// What the record holds and is not replaced, then what is unsaved.
std::vector<stored_verdict> verdict_store::merged(const store_read& got) const
{
    std::vector<stored_verdict> made = verdicts_of(got);
    std::erase_if(made,
                  [&](const stored_verdict& it)
                  { return unsaved_.contains(it.row.fingerprint) || has_ended(it); });
    for (const auto& [fingerprint, crashes] : unsaved_)
    {
        if (crashes > 0)
        {
            made.push_back({{fingerprint, crashes}, unix_ms()});
        }
    }
    if (made.size() > max_verdicts)
    {
        made.erase(made.begin(), made.end() - static_cast<std::ptrdiff_t>(max_verdicts));
    }
    return made;
}

} // namespace camphorrock
