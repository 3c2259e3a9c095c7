#pragma once

// A small world for the fuzz of once_gate: routers with a gate each, a store that delays,
// fails and loses replies, servers that run what they are sent, and callers that retry.
// The oracle is check() and the assertions at told(): it knows ids, runs and answers
// only.

#include "core/once/once_gate.hpp"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace camphorrock
{

class once_world
{
public:
    // With `keeps_authority`, a router that is replaced without a release gives its
    // ranges up before it does anything else, as core/ownership makes it do. Without, it
    // goes on as if it had been paused through it all.
    //
    // The store drops a batch as soon as its retention is over. What is under way for
    // longer than half of that, a write or a request to a server, is dropped.
    once_world(bool keeps_authority, duration retention);

    static constexpr unsigned routers = 3;
    static constexpr unsigned partitions = 2;

    // A number past the routers stands for the one that schedules the id's key. The
    // request carries the epoch at which the router took the partition over, if it did.
    void arrive(unsigned router, unsigned id, duration patience);
    void pass_time(duration by);
    void move(unsigned partition, unsigned router, bool is_released);
    void crash(unsigned router, bool keeps_name);

    // The router learns of another retention, which is not below the world's: that one is
    // the least that all promise at any time.
    void change_retention(unsigned router, duration retention);

    // One open call of a router to the store ends so. `unknown` with `is_late`: it takes
    // effect at some later land().
    void end_call(unsigned draw, store_end end, bool is_late);
    void land(unsigned draw);

    // One open run: the server runs it, refuses it, or its answer is lost.
    void execute(unsigned draw);
    void end_run(unsigned draw, outcome wanted);

    // Gives every open call and run its end, without faults, until nothing is left to do.
    void settle();

    // Every waiter whose router is alive has had its answer.
    void check_all_answered() const;

    unsigned executions() const
    {
        return executions_;
    }

private:
    struct open_run
    {
        unsigned router;
        unsigned life;
        run_action what;
        time_point admitted; // when the journal had it
        time_point given;
        bool is_executed = false;
    };

    struct open_call
    {
        unsigned router;
        unsigned life;
        instance_id self;
        once_action what;
        std::vector<stored_batch> loaded = {}; // the pages that a load has read
    };

    struct late_write
    {
        instance_id journal;
        std::uint64_t number;
        journal_batch batch;
        time_point sent;
        duration retention;
    };

    struct kept_batch
    {
        journal_batch batch;
        time_point written;
        duration retention;
    };

    struct router_state
    {
        instance_id name;
        unsigned life = 0; // counts restarts
        std::unique_ptr<write_budget> budget;
        std::unique_ptr<once_gate> gate;
        duration retention;
    };

    struct waiting
    {
        unsigned router;
        unsigned life;
        once_key key;
    };

    void start(unsigned router, instance_id name);
    void take_over(unsigned partition, unsigned router);
    void drain(unsigned router);
    void take(unsigned router, once_action action);
    void told(const answer_action& it);
    store_end write(const late_write& it, store_end end, bool is_late);
    bool store(const late_write& it);
    bool load_page(std::vector<stored_batch>& loaded) const;
    bool is_remembered(const once_key& key) const;
    void apply_release(const released_action& it);
    bool is_alive(unsigned router, unsigned life) const;

    bool keeps_authority_;
    duration retention_;
    time_point now_{seconds(1000)};
    std::uint64_t version_ = 1;
    std::uint64_t next_waiter_ = 1;
    std::uint64_t next_writer_ = 1;
    unsigned next_name_ = 0;
    std::vector<router_state> routers_;
    std::vector<unsigned> scheduler_;                      // by partition
    std::vector<epoch> since_;                             // by partition
    std::map<std::pair<unsigned, unsigned>, epoch> taken_; // by router and partition
    std::map<instance_id, std::map<std::uint64_t, kept_batch>> store_;
    std::vector<open_call> calls_;
    std::vector<open_run> runs_;
    std::vector<late_write> late_;

    std::map<waiter_id, waiting> waiting_;
    std::map<once_key, time_point> admitted_; // when the journal last had it
    std::map<once_key, time_point> executed_; // by when the run was admitted
    unsigned executions_ = 0;
    std::map<once_key, std::vector<waiter_id>> sent_; // waiters that a run was given for
};

} // namespace camphorrock
