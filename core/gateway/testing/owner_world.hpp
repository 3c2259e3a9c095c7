#pragma once

// A slow model of what surrounds assigners: servers that take grants and releases, a
// store with a record and a lease, and a network that delays, loses and repeats. It
// checks after each step that no key is held by two servers, and that a key's epoch rises
// from one server to the next.

#include "core/gateway/key_assigner.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace camphorrock::testing
{

struct owner_world_options
{
    unsigned servers = 4;
    unsigned assigners = 3;
    double drift = 0.02;        // by which servers' clocks are slow
    double late_share = 0.1;    // of orders that are carried out late, without an answer
    double fault_share = 0.002; // of steps that begin a fault
    key_assigner_options assigner;
};

class owner_world
{
public:
    owner_world(owner_world_options options, std::uint64_t seed);

    // One step of 10 ms. Returns what was violated, in words; none where all holds.
    std::optional<std::string> step();

    // Keys out of 65,536 that some server holds.
    unsigned held_keys() const;

    unsigned grants() const
    {
        return grants_;
    }

    unsigned moves() const
    {
        return moves_;
    }

    // Ends all faults and lets no more begin.
    void calm();

private:
    struct hold
    {
        shard_key_range keys;
        epoch at;
        time_point until{};
    };

    struct server
    {
        listed_server entry;
        bool is_up = true;
        bool is_listed = true;
        time_point listed_until{};
        std::vector<hold> holds;
        std::vector<hold> seen; // the highest epochs, without time
    };

    struct assigner
    {
        std::string name;
        std::unique_ptr<key_assigner> role;
        std::uint64_t record_revision = 0;
        time_point lease_sent{};
        time_point frozen_until{};
        time_point cut_until{}; // from the store
        std::optional<std::size_t> cut_server;
        server_directory servers;
    };

    // Something on its way.
    struct event
    {
        time_point at{};
        std::uint64_t number = 0;
        std::function<void()> what;
    };

    void later(duration delay, std::function<void()> what);
    duration drawn(duration from, duration to);
    bool chance(double share);
    void begin_fault();
    void run_assigner(std::size_t n);
    void stand(std::size_t n);
    void renew(std::size_t n);
    void write(std::size_t n);
    void send(std::size_t n, const key_order& order);
    order_result carry_out(server& to, const key_order& order, time_point arrived);
    void note_owner(const server& at, const key_order& order);
    std::optional<std::string> check();
    bool is_store_reached(const assigner& it) const;

    owner_world_options options_;
    std::mt19937_64 random_;
    time_point now_{seconds(100)};
    std::vector<server> servers_;
    std::vector<assigner> assigners_;
    std::vector<event> events_;
    std::uint64_t last_event_ = 0;

    key_assignment record_;
    std::uint64_t revision_ = 0;
    std::optional<std::size_t> holder_;
    std::uint64_t holder_epoch_ = 0;
    time_point holder_until_{};
    time_point store_down_until_{};
    std::map<unsigned, std::pair<server_id, epoch>> last_owner_; // by key, on a grid
    std::optional<std::string> violation_;
    unsigned grants_ = 0;
    unsigned moves_ = 0;
    bool is_calm_ = false;
};

} // namespace camphorrock::testing
