#pragma once

// Our own placement: partitions with owners, their load measured request by request, and
// the balancer's plans carried out at once.

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
    duration interval = seconds(5); // between two plans
    bool is_spread = false;         // each server decides by itself, at random times
    std::size_t partitions_of_server = 16; // at the start
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

    balance_view view(time_point now) const;
    void decide(time_point now);
    void carry_out(const rebalance_plan& plan, time_point now);
    void apply(const rebalance_step& step);
    std::size_t find(key_hash at) const;
    std::vector<balanced_server> servers() const;
    std::size_t server_of(const server_id& id) const;
    void refresh_owners();

    partition_placement_options options_;
    const key_population& keys_;
    std::vector<server_id> names_;
    std::vector<bool> takes_keys_;
    std::vector<partition> partitions_; // sorted by range
    std::vector<std::size_t> owners_;
    partition_load load_;
    balancer balancer_;
    std::mt19937_64 random_;
    balance_schedule schedule_;
    time_point next_plan_;
};

} // namespace camphorrock
