#pragma once

// The placement by the project's balancer: partitions with owners, whose load is measured
// request by request. The plans of the balancer take effect at once.

#include "bench/balance/key_placement.hpp"
#include "bench/balance/key_population.hpp"
#include "core/balance/balance_schedule.hpp"
#include "core/balance/partition_load.hpp"

#include <random>

namespace camphorrock
{

struct partition_placement_options
{
    balancer_options balance;
    partition_load_options load;
    // Time between two plans or, with checks_servers_independently, mean time between two
    // checks of a server.
    duration interval = seconds(5);
    // Checks each server independently at random times, as balance_schedule does; false:
    // makes one plan for all servers in each interval.
    bool checks_servers_independently = false;
    std::size_t partitions_per_server = 16; // initially
};

class partition_placement final : public key_placement
{
public:
    // `keys` must outlive the placement.
    partition_placement(const partition_placement_options& options,
                        const key_population& keys,
                        std::size_t servers,
                        std::uint64_t seed);

    void servers_changed(const std::vector<bool>& takes_keys, time_point now) override;
    void observe(std::size_t key, time_point now) override;
    void advance(time_point now) override;
    const std::vector<std::size_t>& owners() const override;

private:
    struct partition
    {
        hash_range range;
        std::size_t server = 0;
    };

    balance_view current_view(time_point now) const;
    void plan_and_apply(time_point now);
    void apply_plan(const rebalance_plan& plan, time_point now);
    void apply_step(const rebalance_step& step);
    std::size_t partition_index(key_hash at) const;
    std::vector<balanced_server> servers() const;
    std::size_t server_index(const server_id& id) const;
    void refresh_owners();

    partition_placement_options options_;
    const key_population& keys_;
    std::vector<server_id> server_ids_;
    std::vector<bool> takes_keys_;
    std::vector<partition> partitions_; // sorted by range, cover all hashes
    std::vector<std::size_t> owners_;
    partition_load load_;
    balancer balancer_;
    std::mt19937_64 random_;
    balance_schedule schedule_;
    time_point next_plan_;
};

} // namespace camphorrock
