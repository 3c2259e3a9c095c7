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
    return {};
}

std::vector<named_placement> all_placements()
{
    return {hashed("modulo", hashing::modulo),
            hashed("rendezvous", hashing::rendezvous),
            hashed("bounded-ring", hashing::bounded_ring),
            own("b1", version_1())};
}

} // namespace

const std::vector<named_placement>& named_placements()
{
    static const std::vector<named_placement> all = all_placements();
    return all;
}

} // namespace camphorrock
