#include "core/gateway/servers/evacuations.hpp"

#include <algorithm>

namespace camphorrock
{

bool evacuations::begin(const data_centre& zone,
                        const evacuation_news& news,
                        time_point now)
{
    if (drained_.contains(zone) || drained_.size() >= options_.max_data_centres)
    {
        return false;
    }
    const duration left = news.max_age ? options_.bound - *news.max_age - options_.margin
                                       : duration::zero();
    drained_[zone] = {news.revision, now, now + std::max(left, duration::zero())};
    ended_.erase(zone);
    return true;
}

bool evacuations::end(const data_centre& zone, time_point now)
{
    if (drained_.erase(zone) == 0)
    {
        return false;
    }
    note_end(zone, now);
    return true;
}

void evacuations::note_end(const data_centre& zone, time_point now)
{
    std::erase_if(ended_,
                  [&](const auto& it)
                  { return now - it.second >= options_.ended_retention; });
    if (ended_.size() >= options_.max_data_centres)
    {
        ended_.erase(std::min_element(ended_.begin(),
                                      ended_.end(),
                                      [](const auto& one, const auto& other)
                                      { return one.second < other.second; }));
    }
    ended_[zone] = now;
}

const evacuation* evacuations::find(const data_centre& zone) const
{
    const auto it = drained_.find(zone);
    return it == drained_.end() ? nullptr : &it->second;
}

std::optional<time_point> evacuations::ended_at(const data_centre& zone) const
{
    const auto it = ended_.find(zone);
    return it == ended_.end() ? std::nullopt : std::optional(it->second);
}

} // namespace camphorrock
