#include "assigner/shard_balancer.hpp"

namespace camphorrock
{
namespace
{

// Hashes are uniformly distributed, so the width of a range estimates the fraction of all
// keys that it holds.
double key_fraction(const hash_range& range)
{
    constexpr double hash_space_size = 18446744073709551616.0; // 2^64
    return (static_cast<double>(range.last.value - range.first.value) + 1) /
           hash_space_size;
}

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::size_t index_of(const shard_record& record, const server_id& id)
{
    return static_cast<std::size_t>(find_server(record, id) - record.servers.data());
}

} // namespace

void shard_balancer::clear()
{
    samples_.clear();
    lost_servers_.clear();
}

void shard_balancer::reported(const shard_status& status, time_point now)
{
    for (const server_status& it : status.servers)
    {
        if (it.condition == server_condition::lost)
        {
            lost_servers_.insert(it.id);
        }
        if (it.condition == server_condition::alive)
        {
            lost_servers_.erase(it.id);
        }
    }
    for (const partition_traffic& it : status.load)
    {
        samples_[it.range] = {it, now};
    }
}

rebalance_plan shard_balancer::plan(const shard_record& record,
                                    const service_config& service,
                                    time_point now)
{
    if (now < next_plan_at_)
    {
        return {};
    }
    std::erase_if(samples_,
                  [&](const auto& it)
                  { return now - it.second.reported_at > options_.max_sample_age; });
    if (!service.balance)
    {
        // The imbalance is still measured, for operators.
        next_plan_at_ = now + options_.plan_pause;
        last_imbalance_ = imbalance(view_of(record, service, now));
        return {};
    }
    auto make_view = [&]
    {
        balance_view view = view_of(record, service, now);
        last_imbalance_ = imbalance(view);
        // No moves are planned for a view without partitions.
        return has_enough_load(view) ? view : balance_view{view.servers, {}};
    };
    rebalance_plan made = schedule_.tick(servers_of(record, service), make_view, now);
    if (!made.steps.empty())
    {
        next_plan_at_ = now + options_.plan_pause;
    }
    return made;
}

std::vector<balanced_server>
shard_balancer::servers_of(const shard_record& record,
                           const service_config& service) const
{
    std::vector<balanced_server> servers;
    for (const server_entry& it : record.servers)
    {
        const server_config* declared = find_server(service, it.id);
        bool accepts_keys =
            declared != nullptr && !declared->drain && lost_servers_.count(it.id) == 0;
        servers.push_back(
            {it.id, static_cast<double>(service.slots_per_server), accepts_keys});
    }
    return servers;
}

balance_view shard_balancer::view_of(const shard_record& record,
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
        row.keys = key_fraction(it.range);
        row.is_moving = !it.moving_to.empty();
        auto found = samples_.find(it.range);
        if (found == samples_.end() ||
            now - found->second.reported_at > options_.max_sample_age)
        {
            continue;
        }
        const partition_traffic& traffic = found->second.traffic;
        row.load = to_seconds(traffic.slot_time);
        if (!traffic.hot_keys.empty())
        {
            row.hottest = hot_key{traffic.hot_keys.front().at,
                                  to_seconds(traffic.hot_keys.front().slot_time)};
        }
    }
    return view;
}

bool shard_balancer::has_enough_load(const balance_view& view) const
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
    return load >= options_.min_load_fraction * capacity;
}

} // namespace camphorrock
