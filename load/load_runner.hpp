#pragma once

// Sends the requests and probes of a load, retries as its callers would, and records the
// answers.

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

    // Starts the load. Calls `done` once, when all requests have ended or the drain time
    // is over.
    void start(std::function<void()> done);

    // Stops sending new requests now. Requests in flight may end within the drain time.
    void finish_early();

    load_report& report()
    {
        return report_;
    }

private:
    using request_ptr = std::shared_ptr<load_request>;

    // The arrival process of one caller.
    struct caller_state
    {
        const caller_settings* settings;
        arrival_process arrivals;
        key_popularity keys;
        router_choice own_routers; // if it has none, routers_ is used instead
        duration next_arrival{};   // time since the start of the load
        timer_handle arrival_timer;
    };

    void schedule_arrival(caller_state& caller);
    void on_arrival(caller_state& caller);
    request_ptr make_request(caller_state& caller);
    void start_probing(const probe_settings& probe);
    void send_probe(const probe_settings& probe, const std::string& key);
    void start_request(const request_ptr& request);
    void start_attempt(const request_ptr& request);
    void send_to_router(const request_ptr& request,
                        attempt_record record,
                        std::size_t routers_tried);
    void finish_attempt(const request_ptr& request,
                        attempt_record record,
                        const exchange_result& got);
    void record_result(load_request& request, const attempt_record& record);
    void plan_next_attempt(const request_ptr& request, const exchange_result& got);
    void schedule_retry(const request_ptr& request, duration delay);
    void stop_arrivals();
    void check_finished();
    // Returns true with the given probability.
    bool draw_bernoulli(double probability);

    event_loop& loop_;
    http_client& http_;
    line_file& history_;
    const load_settings& settings_;
    std::function<void()> done_;
    std::mt19937_64 random_;
    router_choice routers_;
    std::string tag_prefix_; // makes tags and ids unique across runs of the tool
    time_point start_time_;
    std::uint64_t last_request_number_ = 0;
    std::uint64_t open_attempts_ = 0; // in flight or scheduled
    std::uint64_t last_retry_id_ = 0;
    std::map<std::uint64_t, timer_handle> retry_timers_; // by retry id
    bool is_generating_ = true;  // new requests and probes are sent
    bool is_drain_over_ = false; // the drain time is over
    std::vector<std::unique_ptr<caller_state>> callers_;
    std::vector<timer_handle> probe_timers_;
    timer_handle end_timer_;
    load_report report_;
    availability availability_;
};

} // namespace camphorrock
