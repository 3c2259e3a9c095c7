#include "bench/balance/balance_trial.hpp"
#include "bench/balance/hashed_placement.hpp"
#include "bench/balance/partition_placement.hpp"

namespace camphorrock
{
namespace
{

named_placement hashed(std::string name, hashing kind)
{
    return {std::move(name),
            [kind](const key_population& keys, std::size_t, std::uint64_t)
            {
                return std::make_unique<hashed_placement>(kind, keys);
            }};
}

named_placement own(std::string name, const partition_placement_options& options)
{
    return {std::move(name),
            [options](const key_population& keys, std::size_t servers, std::uint64_t seed)
            {
                return std::make_unique<partition_placement>(
                    options, keys, servers, seed);
            }};
}

// One plan for all servers every five seconds.
partition_placement_options version_1()
{
    partition_placement_options it;
    it.balance.start_imbalance = 0.10;
    it.balance.stop_imbalance = 0.05;
    it.balance.churn_fraction = 0.10;
    return it;
}

// A churn budget that has room for a join and a hot key in one minute.
partition_placement_options version_2()
{
    partition_placement_options it = version_1();
    it.balance.churn_fraction = 0.15;
    return it;
}

// Content with less.
partition_placement_options version_3()
{
    partition_placement_options it = version_2();
    it.balance.start_imbalance = 0.12;
    it.balance.stop_imbalance = 0.08;
    return it;
}

// Each server decides by itself, at random times, about every two seconds.
partition_placement_options version_4()
{
    partition_placement_options it = version_3();
    it.interval = seconds(2);
    it.is_spread = true;
    return it;
}

std::vector<named_placement> all_placements()
{
    return {hashed("modulo", hashing::modulo),
            hashed("rendezvous", hashing::rendezvous),
            hashed("bounded-ring", hashing::bounded_ring),
            own("b1", version_1()),
            own("b2", version_2()),
            own("b3", version_3()),
            own("b4", version_4())};
}

} // namespace

const std::vector<named_placement>& named_placements()
{
    static const std::vector<named_placement> all = all_placements();
    return all;
}

} // namespace camphorrock
