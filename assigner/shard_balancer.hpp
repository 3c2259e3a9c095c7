#pragma once

// Balances the load of one shard while this assigner holds the shard: collects the loads
// that schedulers report, and plans moves with a balance_schedule.
//
//     balancer.reported(status, now);
//     rebalance_plan plan = balancer.plan(record, service, now); // empty: nothing to do

#include "codec/messages.hpp"
#include "core/balance/balance_schedule.hpp"
#include "core/config/configuration.hpp"
#include "core/ownership/shard_record.hpp"

#include <map>
#include <set>

namespace camphorrock
{

struct shard_balancer_options
{
    duration plan_pause = seconds(5);     // after a plan, to carry out its steps
    duration max_sample_age = seconds(5); // older loads are ignored
    double min_load_fraction = 0.05;      // of the capacity; nothing is moved below it
};

class shard_balancer
{
public:
    // `random` must outlive the balancer.
    shard_balancer(shard_balancer_options options, std::mt19937_64& random)
        : options_(options), schedule_({}, random)
    {
    }

    // Discards all loads. Called when this assigner is elected, since another one may
    // have held the shard in the meantime.
    void clear();

    void reported(const shard_status& status, time_point now);

    // Returns an empty plan if nothing is to be moved now, or if the configuration turns
    // balancing off.
    rebalance_plan
    plan(const shard_record& record, const service_config& service, time_point now);

    // Maximum divided by mean load of the servers that accept keys, when it was last
    // measured; 1 before that.
    double last_imbalance() const
    {
        return last_imbalance_;
    }

private:
    struct sample
    {
        partition_traffic traffic;
        time_point reported_at;
    };

    std::vector<balanced_server> servers_of(const shard_record& record,
                                            const service_config& service) const;
    balance_view view_of(const shard_record& record,
                         const service_config& service,
                         time_point now) const;
    bool has_enough_load(const balance_view& view) const;

    shard_balancer_options options_;
    balance_schedule schedule_;
    std::map<hash_range, sample> samples_; // the latest of each partition, if recent
    std::set<server_id> lost_servers_;     // as reported by schedulers
    time_point next_plan_at_;
    double last_imbalance_ = 1;
};

} // namespace camphorrock
