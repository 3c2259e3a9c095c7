#pragma once

// A simulation for the fuzz test of once_gate: routers with one gate each, a store that
// delays, fails and loses replies, servers that run the requests they get, and callers
// that retry. The assertions in check_answer(), handle_action() and execute() are the
// oracle; it knows only ids, runs and answers.

#include "core/once/once_gate.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace camphorrock
{

class once_simulation
{
public:
    // With `keeps_authority`, a router that is replaced without a release loses its
    // ranges before it does anything else, as core/ownership ensures. Without, it
    // continues as if it had been paused during the replacement.
    //
    // The store drops a batch as soon as its retention is over. A write or a request to a
    // server that has been in transit for longer than half of `retention` is dropped.
    once_simulation(bool keeps_authority, duration retention);

    static constexpr unsigned router_count = 3;
    static constexpr unsigned partition_count = 2;

    // A caller sends a request to a router; router_count or more stands for the scheduler
    // of the id's key. The request carries the epoch at which the router took the
    // partition over, or the partition's current epoch if it never did.
    void arrive(unsigned router, unsigned id, duration timeout);
    void pass_time(duration by);

    // With `is_released`, the scheduler releases the partition, and the next router takes
    // it over when the release has ended. Without, `router` takes it over now.
    void move_partition(unsigned partition, unsigned router, bool is_released);

    // The router restarts without its state, under its old name or a new one.
    void crash(unsigned router, bool keeps_name);

    // Changes the router's retention. The new one must not be below the constructor's
    // `retention`, which is the shortest that any router promises at any time.
    void change_retention(unsigned router, duration retention);

    // Ends one open call of a router to the store with `end`. A write that ends in
    // `unknown` with `is_late` takes effect in a later apply_late_write().
    void end_call(unsigned draw, store_end end, bool is_late);
    void apply_late_write(unsigned draw);

    // The server executes one open run, without an answer yet; end_run() ends one with
    // the wanted outcome if that is possible. `unknown`: the answer is lost.
    void execute(unsigned draw);
    void end_run(unsigned draw, outcome wanted);

    // Ends open calls and runs without faults, for long enough that none is left.
    void settle();

    // Asserts that every waiter whose router has not crashed has got its answer.
    void check_all_answered() const;

    unsigned executions() const
    {
        return executions_;
    }

private:
    struct open_run
    {
        unsigned router;
        unsigned incarnation;
        run_action action;
        time_point admitted_at; // when the admission was written to the journal
        time_point started_at;
        bool is_executed = false;
    };

    struct open_call
    {
        unsigned router;
        unsigned incarnation;
        instance_id self; // the router's name at the time of the call
        once_action action;
        std::vector<stored_batch> loaded = {}; // the pages that a load has read so far
    };

    struct late_write
    {
        instance_id journal;
        std::uint64_t number;
        journal_batch batch;
        time_point sent_at;
        duration retention;
    };

    struct retained_batch
    {
        journal_batch batch;
        time_point written_at;
        duration retention;
    };

    struct router_state
    {
        instance_id name;
        unsigned incarnation = 0; // number of starts
        std::unique_ptr<write_budget> budget;
        std::unique_ptr<once_gate> gate;
        duration retention;
    };

    struct pending_request
    {
        unsigned router;
        unsigned incarnation;
        once_key key;
    };

    void start_router(unsigned router, instance_id name);
    void take_over(unsigned partition, unsigned router);
    void handle_actions(unsigned router);
    void handle_action(unsigned router, once_action action);
    void check_answer(const answer_action& it);
    store_end write(const late_write& it, store_end end, bool is_late);
    bool store_batch(const late_write& it);
    bool load_page(std::vector<stored_batch>& loaded) const;
    bool has_run_within_retention(const once_key& key) const;
    void apply_release(const released_action& it);
    bool is_alive(unsigned router, unsigned incarnation) const;

    bool keeps_authority_;
    duration retention_;
    time_point now_{seconds(1000)};
    std::uint64_t last_epoch_ = 1;
    std::uint64_t next_waiter_ = 1;
    std::uint64_t next_writer_ = 1;
    unsigned next_name_ = 0;
    std::vector<router_state> routers_;
    std::vector<unsigned> schedulers_;    // by partition
    std::vector<epoch> partition_epochs_; // by partition
    // The epoch of a router's last take-over of a partition, by router and partition.
    std::map<std::pair<unsigned, unsigned>, epoch> taken_over_;
    std::map<instance_id, std::map<std::uint64_t, retained_batch>> store_;
    std::vector<open_call> calls_;
    std::vector<open_run> runs_;
    std::vector<late_write> late_writes_;

    std::map<waiter_id, pending_request> pending_requests_;
    std::map<once_key, time_point> admitted_at_; // of the last admission in a journal
    std::map<once_key, time_point> executed_admitted_at_; // of the last executed run
    unsigned executions_ = 0;
    // Waiters for whose request a run was given that was not refused by the server.
    std::map<once_key, std::vector<waiter_id>> sent_waiters_;
};

} // namespace camphorrock
