#include "assigner/shard_balance.hpp"

namespace camphorrock
{
namespace
{

// Hashes spread evenly, so the width of a range is the share of all keys that it holds.
double key_share(const hash_range& range)
{
    constexpr double space = 18446744073709551616.0; // 2^64
    return (static_cast<double>(range.last.value - range.first.value) + 1) / space;
}

double seconds_of(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::size_t index_of(const shard_record& record, const server_id& id)
{
    return static_cast<std::size_t>(find_server(record, id) - record.servers.data());
}

} // namespace

void shard_balance::clear()
{
    samples_.clear();
    lost_.clear();
}

void shard_balance::reported(const shard_status& status, time_point now)
{
    for (const server_status& it : status.servers)
    {
        if (it.condition == server_condition::lost)
        {
            lost_.insert(it.id);
        }
        if (it.condition == server_condition::alive)
        {
            lost_.erase(it.id);
        }
    }
    for (const partition_traffic& it : status.load)
    {
        samples_[it.range] = {it, now};
    }
}

rebalance_plan shard_balance::plan(const shard_record& record,
                                   const service_config& service,
                                   time_point now)
{
    if (now < due_)
    {
        return {};
    }
    std::erase_if(samples_,
                  [&](const auto& it)
                  { return now - it.second.at > options_.sample_limit; });
    if (!service.balance)
    {
        due_ = now + options_.pause;
        last_imbalance_ = imbalance(view_of(record, service, now));
        return {};
    }
    auto make_view = [&]
    {
        balance_view view = view_of(record, service, now);
        last_imbalance_ = imbalance(view);
        return is_loaded(view) ? view : balance_view{view.servers, {}};
    };
    rebalance_plan made = schedule_.tick(servers_of(record, service), make_view, now);
    if (!made.steps.empty())
    {
        due_ = now + options_.pause;
    }
    return made;
}

std::vector<balanced_server>
shard_balance::servers_of(const shard_record& record, const service_config& service) const
{
    std::vector<balanced_server> servers;
    for (const server_entry& it : record.servers)
    {
        const server_config* declared = find_server(service, it.id);
        bool takes_keys =
            declared != nullptr && !declared->drain && lost_.count(it.id) == 0;
        servers.push_back(
            {it.id, static_cast<double>(service.slots_per_server), takes_keys});
    }
    return servers;
}

balance_view shard_balance::view_of(const shard_record& record,
                                    const service_config& service,
                                    time_point now) const
{
    balance_view view;
    view.servers = servers_of(record, service);
    for (const partition_entry& it : record.partitions)
    {
        if (it.owner.empty())
        {
            continue;
        }
        balanced_partition& row = view.partitions.emplace_back();
        row.range = it.range;
        row.server = index_of(record, it.owner);
        row.keys = key_share(it.range);
        row.is_moving = !it.moving_to.empty();
        auto found = samples_.find(it.range);
        if (found == samples_.end() || now - found->second.at > options_.sample_limit)
        {
            continue;
        }
        const partition_traffic& traffic = found->second.traffic;
        row.load = seconds_of(traffic.slot_time);
        if (!traffic.hot_keys.empty())
        {
            row.hottest = hot_key{traffic.hot_keys.front().at,
                                  seconds_of(traffic.hot_keys.front().slot_time)};
        }
    }
    return view;
}

bool shard_balance::is_loaded(const balance_view& view) const
{
    double load = 0;
    double capacity = 0;
    for (const balanced_partition& it : view.partitions)
    {
        load += it.load;
    }
    for (const balanced_server& it : view.servers)
    {
        capacity += it.capacity;
    }
    return load >= options_.least_load * capacity;
}

} // namespace camphorrock
