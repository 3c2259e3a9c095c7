#pragma once

// Simulates operators who patch one configuration concurrently, in rounds. In a round,
// each operator submits a patch on the same base version to a random assigner. A patch is
// settled when its answer is "accepted" or "stale". On any other answer, or none, the
// operator submits the same id and base to the next assigner. The next round begins when
// all patches are settled or have reached the limit of submissions.

#include "app/line_file.hpp"
#include "codec/history.hpp"
#include "load/config_poller.hpp"
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
    std::uint64_t accepted = 0; // answers, including those to repeated patches
    std::uint64_t stale = 0;
    std::uint64_t unsettled = 0; // patches that reached the limit of submissions
};

// Returns one line of JSON.
std::string to_json(const operators_report& report, const version_lag& lag);

class operators_runner
{
public:
    // All references must outlive the runner.
    operators_runner(event_loop& loop,
                     http_client& http,
                     line_file& history,
                     config_poller& poller,
                     version_lag& lag,
                     const operators_settings& settings);

    // Starts the first round. Calls `done` once, when the settings' length and drain time
    // are over and all patches of the last round are settled or abandoned.
    void start(std::function<void()> done);

    const operators_report& report() const
    {
        return report_;
    }

private:
    // One operator's patch of the current round.
    struct submission
    {
        service_name service;
        patch_id id;
        config_version base;
        std::size_t assigner = 0; // index of the assigner that is next to be tried
        unsigned times_sent = 0;
        bool is_repeated = false; // was submitted again after it had been accepted
        timer_handle resubmit_timer;
    };

    void begin_round();
    void submit(std::size_t index);
    void on_answer(std::size_t index, patch_record record, const exchange_result& got);
    void settle_or_resubmit(std::size_t index, const patch_record& record);
    void schedule_resubmission(std::size_t index);
    void end_round();
    void finish();

    event_loop& loop_;
    http_client& http_;
    line_file& history_;
    config_poller& poller_;
    version_lag& lag_;
    const operators_settings& settings_;
    std::function<void()> done_;
    std::mt19937_64 random_;
    std::string id_prefix_; // makes ids unique across runs of the tool
    time_point start_time_;
    config_version newest_version_;       // highest in any answer or document so far
    std::vector<submission> submissions_; // of this round, one per operator
    std::size_t settled_count_ = 0;       // settled or abandoned patches of this round
    operators_report report_;
    timer_handle round_timer_;
};

} // namespace camphorrock
