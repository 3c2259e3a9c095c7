#pragma once

// Sends the load, retries as the callers would, and records what they were told.

#include "app/line_file.hpp"
#include "codec/history.hpp"
#include "load/arrival_process.hpp"
#include "load/availability.hpp"
#include "load/key_popularity.hpp"
#include "load/load_report.hpp"
#include "load/load_request.hpp"
#include "load/load_settings.hpp"
#include "load/router_choice.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorrock
{

class load_runner
{
public:
    // All references must outlive the runner.
    load_runner(event_loop& loop,
                http_client& http,
                line_file& history,
                const load_settings& settings);

    // Calls `done` once when all requests have ended or the drain time is over.
    void start(std::function<void()> done);

    // Ends the arrivals now; what is in flight is still waited for.
    void finish_early();

    load_report& report()
    {
        return report_;
    }

private:
    using request_ptr = std::shared_ptr<load_request>;

    // A caller's arrivals.
    struct caller_state
    {
        const caller_settings* settings;
        arrival_process arrivals;
        key_popularity keys;
        router_choice own_routers; // empty: the runner's are used
        duration next{};           // arrival, counted from the start
        timer_handle timer;
    };

    void plan_arrival(caller_state& caller);
    void arrive(caller_state& caller);
    request_ptr make_request(caller_state& caller);
    void start_probes(const probe_settings& probe);
    void send_probe(const probe_settings& probe, const std::string& key);
    void send_all(const request_ptr& request);
    void send(const request_ptr& request);
    void
    send_attempt(const request_ptr& request, attempt_record record, std::size_t tries);
    void
    ended(const request_ptr& request, attempt_record record, const exchange_result& got);
    void count(load_request& request, const attempt_record& record);
    void settle(const request_ptr& request, const exchange_result& got);
    void retry(const request_ptr& request, duration delay);
    void stop_arrivals();
    void check_finished();
    bool chance(double share);

    event_loop& loop_;
    http_client& http_;
    line_file& history_;
    const load_settings& settings_;
    std::function<void()> done_;
    std::mt19937_64 random_;
    router_choice routers_;
    std::string run_prefix_; // makes tags and ids unique among runs
    time_point started_;
    std::uint64_t last_request_ = 0;
    std::uint64_t open_ = 0; // attempts in flight or planned
    std::uint64_t last_retry_ = 0;
    std::map<std::uint64_t, timer_handle> retries_; // planned attempts
    bool is_arriving_ = true;
    bool is_drained_ = false; // the drain time is over
    std::vector<std::unique_ptr<caller_state>> callers_;
    std::vector<timer_handle> probe_timers_;
    timer_handle end_timer_;
    load_report report_;
    availability availability_;
};

} // namespace camphorrock
