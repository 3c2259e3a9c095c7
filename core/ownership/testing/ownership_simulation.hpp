#pragma once

// A simulation in virtual time for tests: assigners, routers and servers built from the
// production decision classes, a store, and a network that delays, drops and duplicates
// messages and whose links can be cut. Each process has its own drifting clock. The
// oracle checks its invariants after each event.

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

struct simulation_options
{
    int assigners = 2;
    int routers = 5;
    std::vector<bool> server_checks_epoch = {true, true, true, true}; // one per server
    int data_centre_count = 2;
    std::size_t partitions = 8;
    std::uint64_t seed = 1;
    ownership_options ownership;
    assignment_options assignment;
};

class ownership_simulation
{
public:
    explicit ownership_simulation(simulation_options options);
    ~ownership_simulation();

    // Process numbers: assigners come first, then routers, servers and the store. The
    // store counts as a process only for links.
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
        return server(static_cast<int>(options_.server_checks_epoch.size()));
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
    void start_leaving(int router);
    // Cuts or restores the link in one direction.
    void set_link_cut(int from, int to, bool is_cut);
    // Cuts or restores the links with all other processes in both directions.
    void set_isolated(int process, bool is_isolated);
    // Cuts the links of a router with assigners and the store, and with the other routers
    // unless `reaches_routers`. Its links with servers are intact.
    void isolate_router(int router, bool reaches_routers);
    // Ends all faults: restores the network, the store and the instance list, ends all
    // draining, restarts routers that are leaving, and starts or resumes all processes.
    void heal();
    void set_draining(int server, bool is_draining);
    // Sets which routers the instance list shows: bit n stands for router(n).
    void set_listed_routers(std::uint64_t listed_routers);
    void submit_plan(rebalance_plan plan);

    // Faults of the network and the store; probabilities from 0 to 1.
    double drop_probability = 0;
    double duplicate_probability = 0;
    double slow_probability = 0; // of a message to take up to a second
    bool is_store_down = false;
    double lost_store_reply_probability = 0;

    // Returns whether some router and a running server serve every sample hash now.
    bool is_all_served();
    bool is_served(std::size_t hash);
    // Runs for `span` and returns for how long some sample hash was not served.
    duration unserved_within(duration span);
    // Runs until all sample hashes are served, at most for `limit`, and returns how long
    // it ran.
    duration run_until_all_served(duration limit);

    const std::string& violation() const
    {
        return oracle_.violation();
    }
    const std::optional<shard_record>& stored() const
    {
        return stored_;
    }
    shard_controller* elected();
    // Process numbers according to the stored record; -1 if there is none.
    int owner_of(std::size_t hash) const;
    int scheduler_of(std::size_t hash) const;
    std::string describe() const; // the state that decides whether keys are served
    std::uint64_t event_count() const
    {
        return executed_event_count_;
    }

private:
    struct process;
    using step = std::function<void()>;

    struct event
    {
        time_point at;
        std::uint64_t number;
        int to;
        int incarnation; // of `to` that the event is for; -1: any
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

    void schedule_event(duration after, int to, int incarnation, step run);
    void rpc(int from, int to, std::function<step()> handler, step on_refused);
    void store_call(int from, std::function<step()> effect, step on_unknown);
    duration message_delay();
    bool random_bool(double probability);
    bool is_reachable(int from, int to) const;
    bool is_reached_by_minority(int router) const;
    time_point local_time(int process) const;
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
                        std::function<server_reply(grant_guard&, time_point)> handler);
    void check_invariants();
    std::optional<epoch> owner_epoch(std::size_t server, std::size_t hash) const;
    int process_by_id(const std::string& id) const;

    simulation_options options_;
    service_view config_;
    std::mt19937_64 random_;
    time_point now_;
    std::vector<std::unique_ptr<process>> processes_;
    std::vector<std::vector<bool>> is_cut_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_ = 0;
    std::uint64_t executed_event_count_ = 0;
    std::uint64_t listed_routers_ = ~std::uint64_t(0);
    std::optional<shard_record> stored_;
    int lease_holder_ = -1;
    time_point lease_until_;
    std::vector<execution> executions_;
    std::vector<key_hash> hashes_;
    std::uint64_t last_request_ = 0;
    ownership_oracle oracle_;
};

} // namespace camphorrock
