// Case 14: the store's answer to one poll is lost, with which one of two gateways would
// have learned of a change of the configuration. Checks CONFIG by what the clients and
// the upstreams saw.
//
//     case_14 STORE_PORT,... GATEWAY_PORT,... READY_PORT,... RECORD TROUBLE

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

constexpr const char* config_prefix = "op/";
constexpr ms config_apply(2000);
constexpr ms stable_window(3000);
constexpr ms skew_max(5000);
constexpr std::chrono::seconds calm_time(14); // before the changes
constexpr ms second_change(350);              // behind the first one
constexpr double requests_per_s = 40;

std::string config_text(int version, const std::string& service, const char* timeout)
{
    nlohmann::json made = {{"version", version}};
    for (const char* name : {"territory", "reports"})
    {
        made["services"][name] = {{"health_path", "/health"}, {"max_connections", 130}};
    }
    made["routes"]["areas"] = {{"host", "tlf.example"},
                               {"prefix", "/area/"},
                               {"kind", "safe"},
                               {"timeout", timeout},
                               {"target_latency", "400ms"},
                               {"max_attempts", 2},
                               {"priority", 2},
                               {"service", service}};
    return made.dump();
}

struct client_note
{
    steady::time_point sent_at;
    int gateway = 0; // from 0
    int status = 0;
    std::string body;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6)
    {
        return 2;
    }
    const std::vector<int> store_ports = ports_of(argv[1]);
    const std::vector<int> gateways = ports_of(argv[2]);
    std::ofstream record(argv[4]);
    const bool has_trouble = std::string(argv[5]) != "0";
    platform_store store;
    std::atomic<int> checks{0}; // of the first gateway
    for (int port : store_ports)
    {
        store.add_port(port,
                       config_prefix,
                       [&checks, is_first = port == store_ports.front()]
                       { checks += is_first ? 1 : 0; });
    }
    store.put("op/config", config_text(7, "territory", "1200ms"));
    run_journal journal;
    std::vector<std::unique_ptr<upstream>> all;
    for (const char* service :
         {"territory", "territory", "territory", "reports", "reports"})
    {
        upstream_options options;
        options.id = std::string(service) + "-" + std::to_string(all.size() + 1);
        options.service = service;
        options.is_keyed = false;
        all.push_back(std::make_unique<upstream>(options, store, journal));
        all.back()->join();
    }
    if (!wait_ready(ports_of(argv[3])))
    {
        std::printf("the gateways were not ready\n");
        std::fflush(stdout);
        std::_Exit(2);
    }
    std::atomic<bool> is_over{false};
    std::atomic<int> in_flight{0};
    std::mutex lock;
    std::map<std::string, client_note> notes;
    std::thread clients(
        [&]
        {
            for (unsigned count = 1; !is_over; ++count)
            {
                const std::string id = "q" + std::to_string(count);
                const int gateway = static_cast<int>(count % gateways.size());
                ++in_flight;
                std::thread(
                    [&, id, gateway]
                    {
                        client_note note{steady::now(), gateway, 0, ""};
                        const call_result got =
                            call(gateways[static_cast<std::size_t>(gateway)],
                                 "GET",
                                 "/area/" + id,
                                 {{"Host", "tlf.example"},
                                  {"Request-Id", id},
                                  {"Timeout-Remaining", "2500"}},
                                 "",
                                 2500);
                        note.status = got.status;
                        note.body = got.answer.body;
                        const std::lock_guard guard(lock);
                        notes[id] = note;
                        --in_flight;
                    })
                    .detach();
                std::this_thread::sleep_for(ms(static_cast<long>(1000 / requests_per_s)));
            }
        });
    std::this_thread::sleep_for(calm_time);
    // The changes come just after the first gateway has checked its poll.
    const int before = checks;
    const auto give_up = steady::now() + std::chrono::seconds(20);
    while (checks == before && steady::now() < give_up)
    {
        std::this_thread::sleep_for(ms(5));
    }
    std::this_thread::sleep_for(ms(20));
    store.put("op/config", config_text(9, "territory", "1300ms"));
    std::this_thread::sleep_for(second_change);
    if (has_trouble)
    {
        store.lose_answer(store_ports.front(), config_prefix);
    }
    const auto confirmed = steady::now();
    store.put("op/config", config_text(12, "reports", "1300ms"));
    std::this_thread::sleep_for(std::chrono::seconds(14));
    is_over = true;
    clients.join();
    while (in_flight > 0)
    {
        std::this_thread::sleep_for(ms(20));
    }

    const auto at = [&](steady::time_point when)
    {
        return std::to_string(std::chrono::duration_cast<ms>(when - confirmed).count());
    };
    int stale = 0;      // sent when the machine was in touch again
    int very_stale = 0; // sent behind the bound for an unstable core, too
    ms latest(0);
    for (const auto& [id, it] : notes)
    {
        const bool is_old = it.status == 200 && it.body.starts_with("territory");
        const auto since = std::chrono::duration_cast<ms>(it.sent_at - confirmed);
        const bool is_stale = is_old && since > std::max(config_apply, stable_window);
        stale += is_stale ? 1 : 0;
        very_stale += is_old && since > config_apply + skew_max ? 1 : 0;
        latest = is_old ? std::max(latest, since) : latest;
        record << id << " sent " << at(it.sent_at)
               << " ms after the confirmation to gateway " << it.gateway + 1
               << ", status " << it.status << ": " << it.body
               << (is_stale ? " CONFIG" : "") << "\n";
    }
    const std::string summary =
        "requests " + std::to_string(notes.size()) +
        "; answers lost by the store: " + std::to_string(store.lost_answers()) +
        "; run by the old service: until " + std::to_string(latest.count()) +
        " ms after the confirmation, " + std::to_string(stale) + " later than " +
        std::to_string(stable_window.count()) + " ms, " + std::to_string(very_stale) +
        " later than " + std::to_string((config_apply + skew_max).count()) + " ms\n";
    record << summary;
    record.close();
    std::printf("%s", summary.c_str());
    std::fflush(stdout);
    std::_Exit(stale > 0 ? 1 : 0);
}
