#pragma once

// A small world for tests in virtual time: assigners, routers and servers made of the
// real decision objects, a store, and a network that delays, drops, duplicates and cuts.
// Each process has a clock of its own that drifts. After each event the oracle looks.

#include "core/assignment/shard_controller.hpp"
#include "core/membership/voter.hpp"
#include "core/ownership/grant_guard.hpp"
#include "core/ownership/scheduler_authority.hpp"
#include "core/ownership/testing/ownership_oracle.hpp"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace camphorrock
{

struct world_options
{
    int assigners = 2;
    int routers = 5;
    std::vector<bool> servers = {true, true, true, true}; // does it check epochs?
    int zones = 2;
    std::size_t partitions = 8;
    std::uint64_t seed = 1;
    ownership_options ownership;
    assignment_options assignment;
};

class ownership_world
{
public:
    explicit ownership_world(world_options options);
    ~ownership_world();

    // Processes are numbered: assigners, routers, servers, then the store.
    int assigner(int n) const
    {
        return n;
    }
    int router(int n) const
    {
        return options_.assigners + n;
    }
    int server(int n) const
    {
        return router(options_.routers) + n;
    }
    int store() const
    {
        return server(static_cast<int>(options_.servers.size()));
    }
    int process_count() const
    {
        return store();
    }

    void run(duration span);
    void crash(int process);
    void restart(int process);
    void pause(int process);
    void resume(int process);
    void leave(int router);
    void cut(int from, int to, bool is_cut);    // in one direction
    void isolate(int process, bool is_cut);     // from all others, in both directions
    void strand(int router, bool with_routers); // reaches servers, perhaps routers
    void heal(); // network, store, drains; all processes run
    void drain(int server, bool is_draining);
    void list_instances(std::uint64_t shown); // a bit for each router
    void plan(rebalance_plan plan);

    // Faults of the network and the store.
    double drop = 0;
    double duplicate = 0;
    double slow = 0; // messages that take up to a second
    bool is_store_down = false;
    double lost_store_replies = 0;

    // Are all sample hashes served now, by some router and a running server?
    bool is_all_served();
    bool is_served(std::size_t hash);
    // Runs for `span`; for how long of it was some hash not served?
    duration unserved_within(duration span);
    // Runs until all are served and returns how long that took; at most `limit`.
    duration run_until_served(duration limit);

    const std::string& fault() const
    {
        return oracle_.fault();
    }
    const std::optional<shard_record>& stored() const
    {
        return stored_;
    }
    shard_controller* elected();
    int owner_of(std::size_t hash) const; // process numbers; -1: none
    int scheduler_of(std::size_t hash) const;
    std::string describe() const; // what keeps keys from being served
    std::uint64_t events() const
    {
        return events_run_;
    }

private:
    struct process;
    using step = std::function<void()>;

    struct event
    {
        time_point at;
        std::uint64_t number;
        int to;
        int incarnation; // -1: any
        std::shared_ptr<step> run;

        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    // A request at a server that does not check epochs.
    struct execution
    {
        std::uint64_t request;
        std::size_t server;
        key_hash at;
        time_point until;
        bool is_delivered;
    };

    void post(duration after, int to, int incarnation, step run);
    void rpc(int from, int to, std::function<step()> handle, step refused);
    void store_call(int from, std::function<step()> effect, step unknown);
    duration delay();
    bool chance(double share);
    bool is_reachable(int from, int to) const;
    bool is_cut_off(int router) const;
    time_point local(int process) const;
    void start(int process);
    void tick(int process);
    void tick_assigner(int process);
    void tick_router(int process);
    void send_request(int router);
    void carry_out(int process, controller_actions actions);
    void carry_out(int process, scheduler_actions actions);
    void read_for_router(int router);
    void send_to_server(int router,
                        const server_id& to,
                        server_exchange_id exchange,
                        std::function<server_reply(grant_guard&, time_point)> handle);
    void check();
    std::optional<epoch> owner_epoch(std::size_t server, std::size_t hash) const;
    int find(const std::string& id) const;

    world_options options_;
    service_view config_;
    std::mt19937_64 random_;
    time_point now_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<std::vector<bool>> is_cut_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t events_run_ = 0;
    std::uint64_t shown_ = ~std::uint64_t(0);
    std::optional<shard_record> stored_;
    int lease_holder_ = -1;
    time_point lease_until_;
    std::vector<execution> executions_;
    std::vector<key_hash> hashes_;
    std::uint64_t last_request_ = 0;
    ownership_oracle oracle_;
};

} // namespace camphorrock
