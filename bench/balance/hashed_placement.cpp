#include "bench/balance/hashed_placement.hpp"

#include <algorithm>
#include <numeric>

namespace camphorrock
{
namespace
{

constexpr std::size_t ring_points = 100; // of each server
constexpr double ring_bound = 1.15;      // times the mean load, of one server

// How often the ring follows the popularity of the keys.
constexpr duration ring_period = seconds(10);

// The finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

hashed_placement::hashed_placement(hashing kind, const key_population& keys)
    : kind_(kind), keys_(keys), owners_(keys.hashes.size(), 0)
{
}

void hashed_placement::servers_changed(const std::vector<bool>& takes_keys,
                                       time_point now)
{
    live_.clear();
    for (std::size_t i = 0; i < takes_keys.size(); ++i)
    {
        if (takes_keys[i])
        {
            live_.push_back(i);
        }
    }
    placed_at_ = now;
    place();
}

void hashed_placement::observe(std::size_t, time_point) {}

void hashed_placement::advance(time_point now)
{
    if (kind_ == hashing::bounded_ring && now - placed_at_ >= ring_period)
    {
        placed_at_ = now;
        place();
    }
}

const std::vector<std::size_t>& hashed_placement::owners() const
{
    return owners_;
}

void hashed_placement::place()
{
    if (kind_ == hashing::bounded_ring)
    {
        place_on_ring();
        return;
    }
    for (std::size_t key = 0; key < owners_.size(); ++key)
    {
        owners_[key] = kind_ == hashing::modulo ? by_modulo(key) : by_rendezvous(key);
    }
}

std::size_t hashed_placement::by_modulo(std::size_t key) const
{
    return live_[keys_.hashes[key].value % live_.size()];
}

std::size_t hashed_placement::by_rendezvous(std::size_t key) const
{
    const std::uint64_t at = keys_.hashes[key].value;
    return *std::max_element(live_.begin(),
                             live_.end(),
                             [&](std::size_t a, std::size_t b)
                             { return mix(at ^ mix(a)) < mix(at ^ mix(b)); });
}

// Keys go in the order of their hashes to the next server on the ring that has room.
void hashed_placement::place_on_ring()
{
    std::vector<ring_point> ring;
    for (const std::size_t server : live_)
    {
        for (std::size_t i = 0; i < ring_points; ++i)
        {
            ring.push_back({mix(mix(server) + i), server});
        }
    }
    std::sort(ring.begin(),
              ring.end(),
              [](const ring_point& a, const ring_point& b) { return a.at < b.at; });
    const double total = std::accumulate(keys_.weights.begin(), keys_.weights.end(), 0.0);
    const double room = ring_bound * total / static_cast<double>(live_.size());
    std::vector<double> loads(*std::max_element(live_.begin(), live_.end()) + 1, 0);
    for (std::size_t key = 0; key < owners_.size(); ++key)
    {
        const auto from = std::lower_bound(ring.begin(),
                                           ring.end(),
                                           keys_.hashes[key].value,
                                           [](const ring_point& it, std::uint64_t at)
                                           { return it.at < at; });
        auto at = static_cast<std::size_t>(from - ring.begin());
        for (std::size_t tried = 0; tried < ring.size(); ++tried, ++at)
        {
            const std::size_t server = ring[at % ring.size()].server;
            if (loads[server] == 0 || loads[server] + keys_.weights[key] <= room)
            {
                loads[server] += keys_.weights[key];
                owners_[key] = server;
                break;
            }
        }
    }
}

} // namespace camphorrock
