// Case 12: many users come at once while upstreams of a service that is divided by key
// are replaced one after the other. Checks REFUSED and TWICE by what the clients and the
// upstreams saw.
//
//     case_12 STORE_PORT GATEWAY_PORT,... READY_PORT,... RECORD TROUBLE

#include "../../common_3/testing/deployment.hpp"
#include "../../common_3/testing/upstream.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <thread>

using namespace review3;

namespace
{

constexpr int upstream_count = 16;
constexpr int larder_count = 18; // upstreams of another service
constexpr unsigned slots = 3;
constexpr unsigned queue = 12;
constexpr double work_ms = 60; // 0.7 to 1.3 times as long
constexpr int target_ms = 400;
constexpr int timeout_ms = 3000;
constexpr int time_limit_ms = 6000;
constexpr double usual_per_s = 760; // of 800 that the upstreams can do

// The disruptions, within their doses of the site files.
constexpr double burst_x = 1.7;
constexpr std::chrono::seconds burst_for(3);
constexpr ms round_time(5000);    // from one burst to the next
constexpr int replaced_count = 7; // of 16 in one release: a share of 0.44
constexpr int replaced_at_once = 2;
constexpr ms replace_gap(830);
constexpr ms drain_time(4000); // an upstream goes on serving for so long
constexpr std::chrono::seconds played(80);

struct client_note
{
    steady::time_point sent_at;
    steady::time_point ended_at;
    int status = 0;
};

std::chrono::microseconds draw_work(const std::string&)
{
    thread_local std::mt19937 own(std::random_device{}());
    std::uniform_real_distribution<double> spread(0.7, 1.3);
    return std::chrono::microseconds(static_cast<long>(1000 * work_ms * spread(own)));
}

std::string config_text()
{
    nlohmann::json made = {{"version", 7}};
    made["services"]["keepsake"] = {{"health_path", "/health"},
                                    {"max_connections", 430},
                                    {"sharded", true},
                                    {"warm", "5s"}};
    made["services"]["larder"] = {{"health_path", "/health"}, {"max_connections", 430}};
    made["routes"]["gifts"] = {{"host", "keep.example"},
                               {"prefix", "/gift/"},
                               {"kind", "unsafe"},
                               {"timeout", std::to_string(timeout_ms) + "ms"},
                               {"target_latency", std::to_string(target_ms) + "ms"},
                               {"max_attempts", 2},
                               {"priority", 1},
                               {"service", "keepsake"}};
    return made.dump();
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6)
    {
        return 2;
    }
    platform_store store(std::atoi(argv[1]));
    const int gateway = ports_of(argv[2]).front();
    std::ofstream record(argv[4]);
    const bool has_trouble = std::string(argv[5]) != "0";
    store.put("op/config", config_text());

    run_journal journal;
    std::vector<std::unique_ptr<upstream>> all;
    std::vector<upstream*> serving; // the one that joined first is first
    const auto add = [&]
    {
        upstream_options options;
        options.id = "i-" + std::to_string(all.size() + 1);
        options.service = "keepsake";
        options.slots = slots;
        options.queue = queue;
        options.hangs_when_full = true;
        options.keeps_work = true;
        options.work = draw_work;
        all.push_back(std::make_unique<upstream>(options, store, journal));
        all.back()->join();
        serving.push_back(all.back().get());
    };
    for (int n = 0; n < upstream_count; ++n)
    {
        add();
    }
    std::vector<std::unique_ptr<upstream>> larder;
    for (int n = 0; n < larder_count; ++n)
    {
        upstream_options options;
        options.id = "l-" + std::to_string(n + 1);
        options.service = "larder";
        options.is_keyed = false;
        larder.push_back(std::make_unique<upstream>(options, store, journal));
        larder.back()->join();
    }
    if (!wait_ready(ports_of(argv[3])))
    {
        std::printf("the gateways were not ready\n");
        std::fflush(stdout);
        std::_Exit(2);
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));

    std::mutex lock;
    std::map<std::string, client_note> notes;
    std::atomic<int> in_flight{0};
    unsigned count = 0;
    const auto send = [&](unsigned key)
    {
        const std::string id = "q" + std::to_string(++count);
        ++in_flight;
        std::thread(
            [&, key, id]
            {
                client_note note{steady::now(), {}, 0};
                note.status = call(gateway,
                                   "POST",
                                   "/gift/" + id,
                                   {{"Host", "keep.example"},
                                    {"Request-Id", id},
                                    {"Timeout-Remaining", std::to_string(time_limit_ms)},
                                    {"Shard-Key", std::to_string(key)}},
                                   "gift",
                                   time_limit_ms)
                                  .status;
                note.ended_at = steady::now();
                const std::lock_guard guard(lock);
                notes[id] = note;
                --in_flight;
            })
            .detach();
    };
    std::mt19937_64 random(1);
    std::exponential_distribution<double> pause(1.0);
    const auto begin = steady::now();
    const auto first_round = begin + std::chrono::seconds(3);
    auto next_send = begin;
    int replaced = 0;
    while (steady::now() < begin + played)
    {
        std::this_thread::sleep_until(next_send);
        const auto now = steady::now();
        const auto round = (now - first_round) / round_time;
        const auto into_round = now - first_round - round * round_time;
        const bool is_in_round = has_trouble && now >= first_round;
        const bool is_burst = is_in_round && into_round < burst_for;
        next_send +=
            std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(
                pause(random) / (usual_per_s * (is_burst ? burst_x : 1.0))));
        const int steps = 1 + static_cast<int>(into_round / replace_gap);
        const int due = is_in_round
                            ? static_cast<int>(round) * replaced_count +
                                  std::min(replaced_count, steps * replaced_at_once)
                            : 0;
        if (replaced < due)
        {
            ++replaced;
            upstream* old = serving.front();
            serving.erase(serving.begin());
            add();
            std::thread(
                [old]
                {
                    std::this_thread::sleep_for(ms(500));
                    old->drain();
                    std::this_thread::sleep_for(drain_time);
                    old->leave();
                })
                .detach();
        }
        send(static_cast<unsigned>(random() % 65536));
    }
    while (in_flight > 0)
    {
        std::this_thread::sleep_for(ms(20));
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));

    const std::lock_guard guard(journal.lock);
    std::map<std::string, std::vector<run_note>> runs;
    for (const run_note& it : journal.runs)
    {
        runs[it.request_id].push_back(it);
    }
    const auto at = [&](steady::time_point when)
    {
        return std::to_string(std::chrono::duration_cast<ms>(when - begin).count());
    };
    std::map<int, int> statuses;
    int refused_and_run = 0;
    int twice = 0;
    for (const auto& [id, it] : notes)
    {
        ++statuses[it.status];
        const std::vector<run_note>& of_request = runs[id];
        record << id << " sent " << at(it.sent_at) << " ms, ended " << at(it.ended_at)
               << " ms with " << it.status << ", runs " << of_request.size();
        for (const run_note& run : of_request)
        {
            record << ", at " << run.upstream << " from " << at(run.began_at) << " ms";
        }
        const bool is_promise =
            it.status == 429 || it.status == 503 || it.status == 408 || it.status == 421;
        const bool is_refused = is_promise && !of_request.empty();
        const bool is_twice = of_request.size() > 1;
        refused_and_run += is_refused ? 1 : 0;
        twice += is_twice ? 1 : 0;
        record << (is_refused ? " REFUSED" : "") << (is_twice ? " TWICE" : "") << "\n";
    }
    std::string summary = "requests " + std::to_string(notes.size()) + ":";
    for (const auto& [status, n] : statuses)
    {
        summary += " " + std::to_string(n) + " x " + std::to_string(status);
    }
    summary += "; replaced upstreams: " + std::to_string(replaced) +
               "; refused but run: " + std::to_string(refused_and_run) +
               "; run twice: " + std::to_string(twice) + "\n";
    record << summary;
    record.close();
    std::printf("%s", summary.c_str());
    std::fflush(stdout);
    std::_Exit(refused_and_run + twice > 0 ? 1 : 0);
}
