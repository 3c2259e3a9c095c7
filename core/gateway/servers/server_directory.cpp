#include "core/gateway/servers/server_directory.hpp"

#include <set>

namespace camphorrock
{

void server_directory::put(const listed_server& entry, time_point now)
{
    known_server& it = servers_[entry.id];
    // An entry of an older incarnation may arrive after that of a newer one.
    if (entry.incarnation < it.entry.incarnation)
    {
        return;
    }
    const bool is_same = it.entry.incarnation == entry.incarnation;
    const bool was_draining = it.entry.is_draining && is_same;
    const time_point draining_since = was_draining ? it.draining_since : now;
    const auto announced = is_same ? it.announced_leaving_at : std::nullopt;
    const bool is_ready_again = was_draining && !entry.is_draining;
    const time_point ready_since = it.ready_again_since.value_or(now);
    it = known_server{entry, now, false, {}, draining_since, announced};
    note_evacuation(it);
    if (is_ready_again)
    {
        it.ready_again_since = ready_since;
        it.entry.is_draining = now - ready_since < options_.draining_retention;
    }
}

bool server_directory::announce_leaving(const server_id& id,
                                        const server_incarnation& incarnation,
                                        time_point now)
{
    auto it = servers_.find(id);
    const bool is_news = it != servers_.end() &&
                         it->second.entry.incarnation == incarnation &&
                         !it->second.announced_leaving_at;
    if (is_news)
    {
        it->second.announced_leaving_at = now;
    }
    return is_news;
}

void server_directory::remove(const server_id& id, duration grace, time_point now)
{
    auto it = servers_.find(id);
    if (it != servers_.end() && !it->second.is_missing)
    {
        it->second.is_missing = true;
        it->second.gone_at = now + grace;
    }
}

void server_directory::replace(const std::vector<listed_server>& entries,
                               duration grace,
                               time_point now)
{
    std::set<server_id> listed_ids;
    for (const listed_server& it : entries)
    {
        listed_ids.insert(it.id);
        put(it, now);
    }
    for (const auto& [id, it] : servers_)
    {
        if (!listed_ids.contains(id))
        {
            remove(id, grace, now);
        }
    }
}

void server_directory::set_evacuations(const evacuations& evacuated)
{
    evacuated_ = evacuated;
    for (auto& [id, it] : servers_)
    {
        note_evacuation(it);
    }
}

void server_directory::note_evacuation(known_server& it) const
{
    const evacuation* drain = evacuated_.find(it.entry.zone);
    it.evacuation_stop_at =
        drain == nullptr ? std::nullopt : std::optional(drain->stop_at);
    it.evacuation_ended_at = evacuated_.ended_at(it.entry.zone);
}

void server_directory::expire(time_point now)
{
    std::erase_if(servers_,
                  [&](const auto& it)
                  {
                      const duration retention = it.second.announced_leaving_at
                                                     ? options_.announced_retention
                                                     : options_.gone_retention;
                      return it.second.is_missing && now - it.second.gone_at >= retention;
                  });
}

const known_server* server_directory::find(const server_id& id) const
{
    auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

std::vector<const known_server*>
server_directory::servers_of(const service_name& service) const
{
    std::vector<const known_server*> found;
    for (const auto& [id, it] : servers_)
    {
        if (it.entry.service == service)
        {
            found.push_back(&it);
        }
    }
    return found;
}

} // namespace camphorrock
