#include "core/gateway/retry/suspect_list.hpp"

#include <algorithm>
#include <tuple>

namespace camphorrock
{
namespace
{

bool is_condemned(unsigned crashes)
{
    return crashes >= crashes_to_condemn;
}

} // namespace

unsigned suspect_list::crashes_of(std::uint64_t fingerprint) const
{
    const auto found = rows_.find(fingerprint);
    return found == rows_.end() ? 0 : found->second.crashes;
}

known_crashes suspect_list::crashes_of(const request_fingerprint& request) const
{
    return {crashes_of(request.whole), crashes_of(request.path)};
}

crash_standing suspect_list::standing_of(const request_fingerprint& request) const
{
    const known_crashes known = crashes_of(request);
    const unsigned crashes = std::max(known.whole, known.path);
    if (is_condemned(crashes))
    {
        return crash_standing::condemned;
    }
    return crashes > 0 ? crash_standing::suspected : crash_standing::clear;
}

bool suspect_list::add(const suspect_row& row, time_point now)
{
    if (row.crashes == 0)
    {
        return rows_.erase(row.fingerprint) > 0;
    }
    const auto found = rows_.find(row.fingerprint);
    if (found != rows_.end())
    {
        const bool is_news = row.crashes > found->second.crashes;
        found->second.crashes = std::max(row.crashes, found->second.crashes);
        found->second.added_at = now;
        return is_news;
    }
    if (rows_.size() >= options_.max_rows)
    {
        drop_one();
    }
    rows_[row.fingerprint] = {row.crashes, now};
    return true;
}

void suspect_list::drop_one()
{
    const auto first = std::min_element(
        rows_.begin(),
        rows_.end(),
        [](const auto& a, const auto& b)
        {
            return std::tuple(is_condemned(a.second.crashes), a.second.added_at) <
                   std::tuple(is_condemned(b.second.crashes), b.second.added_at);
        });
    rows_.erase(first);
}

void suspect_list::clear(const request_fingerprint& request)
{
    for (const std::uint64_t it : request.both())
    {
        rows_.erase(it);
    }
}

void suspect_list::expire(time_point now)
{
    std::erase_if(rows_,
                  [&](const auto& it)
                  {
                      const duration retention = is_condemned(it.second.crashes)
                                                     ? options_.verdict_retention
                                                     : options_.suspect_retention;
                      return now - it.second.added_at >= retention;
                  });
}

std::vector<suspect_row> suspect_list::condemned(std::size_t max_rows) const
{
    std::vector<suspect_row> found;
    for (const auto& [fingerprint, it] : rows_)
    {
        if (is_condemned(it.crashes) && found.size() < max_rows)
        {
            found.push_back({fingerprint, it.crashes});
        }
    }
    return found;
}

} // namespace camphorrock
