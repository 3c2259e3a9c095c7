#pragma once

// An upstream of a service that is divided by key, as PROTOCOL.md describes it. It keeps
// a journal of the requests that it began to run and of the orders that it took.

#include "store.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace review3
{

struct upstream_options
{
    std::string id;
    std::string service;
    bool is_keyed = true;
    unsigned slots = 3;
    unsigned queue = 12;
    bool hangs_when_full = false; // else it rejects with 503 and Not-Executed
    bool keeps_work = false;      // goes on with a request when its connection closes
    // Of a request, by its first line.
    std::function<std::chrono::microseconds(const std::string&)> work =
        [](const std::string&)
    {
        return ms(50);
    };
    ms heartbeat{870};
};

struct run_note
{
    steady::time_point began_at;
    std::string request_id;
    std::string upstream;
    unsigned key = 0;
    std::uint64_t fence = 0;
    // When the caller closed the connection while the upstream was at work.
    std::optional<steady::time_point> cut_at{};
};

// A time for which an upstream held keys.
struct hold_note
{
    steady::time_point from;
    steady::time_point until;
    std::string upstream;
    unsigned first = 0;
    unsigned last = 0;
    std::uint64_t fence = 0;
};

// What all upstreams note, in the order of events.
struct run_journal
{
    std::mutex lock;
    std::vector<run_note> runs;
    std::vector<hold_note> holds; // `until` is cut short by a release or a higher grant
    std::vector<std::string> orders;
};

class upstream
{
public:
    upstream(upstream_options options, platform_store& store, run_journal& journal);

    // Writes its entry now and at each heartbeat.
    void join();
    // Reports "draining". It goes on serving.
    void drain();
    // Removes its entry and closes its port.
    void leave();
    // Crashes: its port closes at once, its entry stays until it lapses.
    void crash();

    const std::string& id() const
    {
        return options_.id;
    }

private:
    struct grant
    {
        unsigned first = 0;
        unsigned last = 0;
        std::uint64_t fence = 0;
        steady::time_point until{};
        std::size_t note = 0; // in the journal's holds
    };

    wire_answer handle(const exchanged_message& request, const wire_peer& peer);
    wire_answer handle_grant(const std::string& body, steady::time_point arrived);
    wire_answer handle_release(const std::string& body);
    wire_answer handle_request(const exchanged_message& request, const wire_peer& peer);
    void cut_grants(unsigned first, unsigned last, steady::time_point at);
    const grant* holder_of(unsigned key) const;
    void write_entry();

    upstream_options options_;
    platform_store& store_;
    run_journal& journal_;
    std::mutex lock_;
    std::condition_variable slot_freed_;
    std::vector<grant> grants_;
    std::vector<grant> seen_;     // the highest fences by range
    std::list<unsigned> working_; // the keys of requests that run
    std::list<int> waiting_;      // tickets of queued requests, in order
    int last_ticket_ = 0;
    unsigned running_ = 0;
    bool is_draining_ = false;
    std::atomic<bool> is_listed_{false};
    std::atomic<bool> is_dead_{false};
    unsigned sequence_ = 0;
    long born_ = 0;
    std::unique_ptr<wire_server> server_;
};

} // namespace review3
