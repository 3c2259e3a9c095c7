#pragma once

// Operators who patch one configuration at the same moment. A round: all of them submit a
// patch on one base to an assigner each; who gets no settled answer submits the same id
// and base again elsewhere. The next round begins when all are settled.

#include "app/line_file.hpp"
#include "codec/history.hpp"
#include "load/config_watch.hpp"
#include "load/operators_settings.hpp"
#include "load/version_lag.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace camphorrock
{

struct operators_report
{
    std::uint64_t rounds = 0;
    std::uint64_t submissions = 0;
    std::uint64_t accepted = 0; // answers, also to a patch submitted again
    std::uint64_t stale = 0;
    std::uint64_t unsettled = 0; // patches given up
};

// One line of JSON.
std::string to_json(const operators_report& report, const version_lag& lag);

class operators_runner
{
public:
    // All references must outlive the runner.
    operators_runner(event_loop& loop,
                     http_client& http,
                     line_file& history,
                     config_watch& watch,
                     version_lag& lag,
                     const operators_settings& settings);

    // Calls `done` once, when the time is over and the last rounds' patches are settled
    // or given up.
    void start(std::function<void()> done);

    const operators_report& report() const
    {
        return report_;
    }

private:
    // One operator's patch of this round.
    struct submission
    {
        service_name service;
        patch_id id;
        config_version base;
        std::size_t assigner = 0;
        unsigned sent = 0;
        bool is_repeated = false;
        timer_handle again;
    };

    void begin_round();
    void submit(std::size_t who);
    void on_answer(std::size_t who, patch_record record, const exchange_result& got);
    void settle(std::size_t who, const patch_record& record);
    void submit_later(std::size_t who);
    void end_round();
    void end();

    event_loop& loop_;
    http_client& http_;
    line_file& history_;
    config_watch& watch_;
    version_lag& lag_;
    const operators_settings& settings_;
    std::function<void()> done_;
    std::mt19937_64 random_;
    std::string run_prefix_; // makes ids unique among runs
    time_point started_;
    config_version newest_; // that any operator has heard of
    std::vector<submission> open_;
    std::size_t settled_ = 0; // of this round
    operators_report report_;
    timer_handle timer_;
};

} // namespace camphorrock
