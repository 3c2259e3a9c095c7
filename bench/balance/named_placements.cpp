#include "bench/balance/balance_trial.hpp"
#include "bench/balance/hashed_placement.hpp"
#include "bench/balance/partition_placement.hpp"

namespace camphorrock
{
namespace
{

named_placement hashed_by(std::string name, hashing_method kind)
{
    return {std::move(name),
            [kind](const key_population& keys, std::size_t, std::uint64_t)
            {
                return std::make_unique<hashed_placement>(kind, keys);
            }};
}

named_placement partitioned(std::string name, const partition_placement_options& options)
{
    return {std::move(name),
            [options](const key_population& keys, std::size_t servers, std::uint64_t seed)
            {
                return std::make_unique<partition_placement>(
                    options, keys, servers, seed);
            }};
}

// One plan for all servers every 5 s.
partition_placement_options b1_options()
{
    partition_placement_options it;
    it.balance.start_imbalance = 0.10;
    it.balance.stop_imbalance = 0.05;
    it.balance.churn_fraction = 0.10;
    return it;
}

// Raises the churn budget so that a join and a hot key fit into one minute.
partition_placement_options b2_options()
{
    partition_placement_options it = b1_options();
    it.balance.churn_fraction = 0.15;
    return it;
}

// Starts to balance at a higher imbalance and stops at a higher one.
partition_placement_options b3_options()
{
    partition_placement_options it = b2_options();
    it.balance.start_imbalance = 0.12;
    it.balance.stop_imbalance = 0.08;
    return it;
}

// Checks each server independently at random times, every 2 s on average.
partition_placement_options b4_options()
{
    partition_placement_options it = b3_options();
    it.interval = seconds(2);
    it.checks_servers_independently = true;
    return it;
}

std::vector<named_placement> all_placements()
{
    return {hashed_by("modulo", hashing_method::modulo),
            hashed_by("rendezvous", hashing_method::rendezvous),
            hashed_by("bounded-ring", hashing_method::bounded_ring),
            partitioned("b1", b1_options()),
            partitioned("b2", b2_options()),
            partitioned("b3", b3_options()),
            partitioned("b4", b4_options())};
}

} // namespace

const std::vector<named_placement>& named_placements()
{
    static const std::vector<named_placement> all = all_placements();
    return all;
}

} // namespace camphorrock
