#pragma once

// The baselines, which place each key by its hash: modulo, rendezvous hashing, and
// consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam). The last one
// knows the true popularity of every key.

#include "bench/balance/key_placement.hpp"
#include "bench/balance/key_population.hpp"

#include <cstdint>

namespace camphorrock
{

enum class hashing_method
{
    modulo,
    rendezvous,
    bounded_ring,
};

class hashed_placement final : public key_placement
{
public:
    // `keys` must outlive the placement. Its weights may change.
    hashed_placement(hashing_method kind, const key_population& keys);

    void servers_changed(const std::vector<bool>& takes_keys, time_point now) override;
    void observe(std::size_t key, time_point now) override;
    void advance(time_point now) override;
    const std::vector<std::size_t>& owners() const override;

private:
    struct ring_point
    {
        std::uint64_t position = 0;
        std::size_t server = 0;
    };

    void place_keys();
    std::size_t owner_by_modulo(std::size_t key) const;
    std::size_t owner_by_rendezvous(std::size_t key) const;
    void place_keys_on_ring();

    hashing_method kind_;
    const key_population& keys_;
    std::vector<std::size_t> active_servers_;
    std::vector<std::size_t> owners_;
    time_point placed_at_;
};

} // namespace camphorrock
