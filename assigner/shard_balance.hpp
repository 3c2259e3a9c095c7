#pragma once

// The balancing of one shard's load: collects what the schedulers report and has the
// balancer plan from time to time, while this assigner holds the shard.
//
//     balance.reported(status, now);
//     rebalance_plan plan = balance.plan(record, service, now); // empty: nothing to do

#include "codec/messages.hpp"
#include "core/balance/balance_schedule.hpp"
#include "core/config/configuration.hpp"
#include "core/ownership/shard_record.hpp"

#include <map>
#include <set>

namespace camphorrock
{

struct shard_balance_options
{
    duration pause = seconds(5);        // after a plan, for its steps to be carried out
    duration sample_limit = seconds(5); // older loads are not used
    double least_load = 0.05;           // of the capacity, below which nothing is moved
};

class shard_balance
{
public:
    // `random` must outlive it.
    shard_balance(shard_balance_options options, std::mt19937_64& random)
        : options_(options), schedule_({}, random)
    {
    }

    // Another assigner held the shard meanwhile: forgets all loads.
    void clear();

    void reported(const shard_status& status, time_point now);

    // Empty where the configuration has balancing off.
    rebalance_plan
    plan(const shard_record& record, const service_config& service, time_point now);

    // Max over mean load of the servers that take keys, as of the last plan.
    double last_imbalance() const
    {
        return last_imbalance_;
    }

private:
    struct sample
    {
        partition_traffic traffic;
        time_point at;
    };

    std::vector<balanced_server> servers_of(const shard_record& record,
                                            const service_config& service) const;
    balance_view view_of(const shard_record& record,
                         const service_config& service,
                         time_point now) const;
    bool is_loaded(const balance_view& view) const;

    shard_balance_options options_;
    balance_schedule schedule_;
    std::map<hash_range, sample> samples_; // of the partitions reported lately
    std::set<server_id> lost_;
    time_point due_;
    double last_imbalance_ = 1;
};

} // namespace camphorrock
