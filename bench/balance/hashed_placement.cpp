#include "bench/balance/hashed_placement.hpp"

#include <algorithm>
#include <numeric>

namespace camphorrock
{
namespace
{

constexpr std::size_t ring_points_per_server = 100;
constexpr double max_load_factor = 1.15; // of a server, times the mean load

// Time between two updates of the ring placement to the popularity of the keys.
constexpr duration ring_update_interval = seconds(10);

// One step of SplitMix64: its increment and finalizer.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

hashed_placement::hashed_placement(hashing_method kind, const key_population& keys)
    : kind_(kind), keys_(keys), owners_(keys.hashes.size(), 0)
{
}

void hashed_placement::servers_changed(const std::vector<bool>& takes_keys,
                                       time_point now)
{
    active_servers_.clear();
    for (std::size_t i = 0; i < takes_keys.size(); ++i)
    {
        if (takes_keys[i])
        {
            active_servers_.push_back(i);
        }
    }
    placed_at_ = now;
    place_keys();
}

void hashed_placement::observe(std::size_t, time_point) {}

void hashed_placement::advance(time_point now)
{
    if (kind_ == hashing_method::bounded_ring && now - placed_at_ >= ring_update_interval)
    {
        placed_at_ = now;
        place_keys();
    }
}

const std::vector<std::size_t>& hashed_placement::owners() const
{
    return owners_;
}

void hashed_placement::place_keys()
{
    if (kind_ == hashing_method::bounded_ring)
    {
        place_keys_on_ring();
        return;
    }
    for (std::size_t key = 0; key < owners_.size(); ++key)
    {
        owners_[key] = kind_ == hashing_method::modulo ? owner_by_modulo(key)
                                                       : owner_by_rendezvous(key);
    }
}

std::size_t hashed_placement::owner_by_modulo(std::size_t key) const
{
    return active_servers_[keys_.hashes[key].value % active_servers_.size()];
}

std::size_t hashed_placement::owner_by_rendezvous(std::size_t key) const
{
    const std::uint64_t hash = keys_.hashes[key].value;
    return *std::max_element(active_servers_.begin(),
                             active_servers_.end(),
                             [&](std::size_t a, std::size_t b)
                             { return mix(hash ^ mix(a)) < mix(hash ^ mix(b)); });
}

// Places the keys in the order of their hashes. Each goes to the first server, clockwise
// from its hash on the ring, whose load stays within the bound. A server without load
// takes any key.
void hashed_placement::place_keys_on_ring()
{
    std::vector<ring_point> ring;
    for (const std::size_t server : active_servers_)
    {
        for (std::size_t i = 0; i < ring_points_per_server; ++i)
        {
            ring.push_back({mix(mix(server) + i), server});
        }
    }
    std::sort(ring.begin(),
              ring.end(),
              [](const ring_point& a, const ring_point& b)
              { return a.position < b.position; });
    const double total = std::accumulate(keys_.weights.begin(), keys_.weights.end(), 0.0);
    const double max_load =
        max_load_factor * total / static_cast<double>(active_servers_.size());
    std::vector<double> loads(
        *std::max_element(active_servers_.begin(), active_servers_.end()) + 1, 0);
    for (std::size_t key = 0; key < owners_.size(); ++key)
    {
        const auto first_point = std::lower_bound(
            ring.begin(),
            ring.end(),
            keys_.hashes[key].value,
            [](const ring_point& it, std::uint64_t hash) { return it.position < hash; });
        auto index = static_cast<std::size_t>(first_point - ring.begin());
        for (std::size_t probes = 0; probes < ring.size(); ++probes, ++index)
        {
            const std::size_t server = ring[index % ring.size()].server;
            if (loads[server] == 0 || loads[server] + keys_.weights[key] <= max_load)
            {
                loads[server] += keys_.weights[key];
                owners_[key] = server;
                break;
            }
        }
    }
}

} // namespace camphorrock
