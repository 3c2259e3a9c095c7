// camphorrock-once: the store, servers and callers of a trial of work that must run once,
// by gateways that run as processes of their own. Prints "listening ADDRESS" of the
// store; the callers begin at SIGUSR1. After --length-ms prints a row of counts, and the
// trace of each request that ran twice, or ran although its caller was promised that it
// had not. Exits 0 if there is none.

#include "app/command_line.hpp"
#include "app/endpoint_text.hpp"
#include "app/program.hpp"
#include "core/base/number_text.hpp"
#include "fakes/site/once_trial.hpp"

#include <csignal>
#include <cstdio>

using namespace camphorrock;

namespace
{

constexpr double max_ms = 600000;
constexpr double max_count = 1000;
constexpr std::int64_t max_seed = 1000000000;
constexpr duration answer_wait = seconds(5); // after the last request
constexpr duration run_wait = seconds(1);    // for runs that begin after the last answer
constexpr duration poll_period = milliseconds(20);

struct once_arguments
{
    std::string store = "127.0.0.1:0";
    std::string relayed_store;
    std::vector<std::string> gateways;
    bool is_keyed = false;
    std::int64_t servers = 2;
    std::int64_t ids = 1;
    double take_over_ms = 0;
    bool take_over_closes = false;
    double add_least_ms = 0;
    double add_most_ms = 0;
    double order_least_ms = 0;
    double order_most_ms = 0;
    double cut_ms = 0;
    double work_ms = 100;
    double refuse_share = 0;
    std::vector<std::string> refuse_statuses{"503", "429", "421", "408"};
    double run_status_share = 0;
    std::vector<std::string> run_statuses{"503", "429", "421", "408"};
    double copy_share = 1;
    std::int64_t callers = 4;
    std::int64_t depth = 1;
    std::int64_t seed = 1;
    double length_ms = 10000;
};

duration ms_of(double ms)
{
    return milliseconds(static_cast<std::int64_t>(ms));
}

std::vector<int> statuses_of(const std::vector<std::string>& texts)
{
    std::vector<int> made;
    made.reserve(texts.size());
    for (const std::string& it : texts)
    {
        made.push_back(static_cast<int>(parse_number<unsigned>(it).value_or(0)));
    }
    return made;
}

fakes::once_trial_options options_of(const once_arguments& args)
{
    fakes::once_trial_options made;
    made.store_address = endpoint(args.store);
    made.relayed_store_address = endpoint(args.relayed_store);
    for (const std::string& it : args.gateways)
    {
        made.gateways.push_back(endpoint(it));
    }
    made.is_keyed = args.is_keyed;
    made.servers = static_cast<std::size_t>(args.servers);
    made.ids_at_address = static_cast<std::size_t>(args.ids);
    made.take_over = {ms_of(args.take_over_ms / 2), ms_of(args.take_over_ms)};
    made.take_over_closes = args.take_over_closes;
    made.add = {ms_of(args.add_least_ms), ms_of(args.add_most_ms)};
    made.order = {ms_of(args.order_least_ms), ms_of(args.order_most_ms)};
    made.cut_period = ms_of(args.cut_ms);
    made.work = ms_of(args.work_ms);
    made.refuse_share = args.refuse_share;
    made.refuse_statuses = statuses_of(args.refuse_statuses);
    made.run_status_share = args.run_status_share;
    made.run_statuses = statuses_of(args.run_statuses);
    made.copy_share = args.copy_share;
    made.callers = static_cast<std::size_t>(args.callers);
    made.depth = static_cast<std::size_t>(args.depth);
    made.seed = static_cast<std::uint64_t>(args.seed);
    return made;
}

// Runs the loop until all requests have their answers, but not for longer than
// answer_wait, and then until late runs have begun.
void await_answers(event_loop& loop, const fakes::once_trial& trial)
{
    const timer_handle limit = loop.after(answer_wait, [&] { loop.stop(); });
    const timer_handle poll = loop.every(poll_period,
                                         [&]
                                         {
                                             if (trial.in_flight() == 0)
                                             {
                                                 loop.stop();
                                             }
                                         });
    loop.run();
}

void run_for(event_loop& loop, duration time)
{
    const timer_handle end = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

result<int> serve(const once_arguments& args, event_log& log)
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    BOOST_LEAF_AUTO(trial, fakes::once_trial::create(*loop, options_of(args), log));
    timer_handle end;
    const watch_handle on_start = loop->on_signal(
        SIGUSR1,
        [&]
        {
            if (!end)
            {
                trial->start_callers();
                end = loop->after(ms_of(args.length_ms), [&] { loop->stop(); });
            }
        });
    const watch_handle on_term = loop->on_signal(SIGTERM, [&] { loop->stop(); });
    print_listening(trial->store_address());
    loop->run();
    trial->stop_callers();
    await_answers(*loop, *trial);
    run_for(*loop, run_wait);
    const fakes::once_report report = trial->report();
    std::printf("copies=%zu %s\n", report.copies, once_count_text(report.count).c_str());
    for (const std::string& it : report.traces)
    {
        std::printf("%s\n", it.c_str());
    }
    return report.count.is_kept() ? exit_ok : exit_failure;
}

void add_options(command_line& line, once_arguments& args)
{
    line.add_option("--listen", args.store, "address of the store");
    line.add_option("--relayed-listen",
                    args.relayed_store,
                    "address of the store for gateways that reach servers by relays");
    line.add_option("--gateway", args.gateways, "address of a gateway for clients");
    line.add_flag("--keyed", args.is_keyed, "the servers hold keys");
    line.add_option("--servers", args.servers, "number of server addresses");
    line.require_range("--servers", 1, max_count);
    line.add_option("--ids", args.ids, "servers that share an address");
    line.require_range("--ids", 1, max_count);
    line.add_option(
        "--take-over-ms", args.take_over_ms, "longest time of one of them there");
    line.add_flag("--take-over-closes",
                  args.take_over_closes,
                  "the connections end when another server takes over");
    line.add_option(
        "--add-least-ms", args.add_least_ms, "least time between added servers");
    line.add_option("--add-most-ms",
                    args.add_most_ms,
                    "longest time between added servers, the oldest of which drains; 0: "
                    "none is added");
    line.add_option("--order-least-ms", args.order_least_ms, "least time of an order");
    line.add_option("--order-most-ms", args.order_most_ms, "longest time of an order");
    line.add_option(
        "--cut-ms",
        args.cut_ms,
        "time until relayed links are cut, and until they are back; 0: never");
    line.add_option("--work-ms", args.work_ms, "service time of a request");
    line.add_option("--refuse", args.refuse_share, "share of requests refused");
    line.add_option("--refuse-status", args.refuse_statuses, "statuses of refusals");
    line.add_option(
        "--run-status-share", args.run_status_share, "share of runs answered otherwise");
    line.add_option(
        "--run-status", args.run_statuses, "statuses of these answers, after the run");
    line.add_option("--copies", args.copy_share, "share of refusals written twice");
    line.add_option("--callers", args.callers, "callers at each gateway");
    line.require_range("--callers", 1, max_count);
    line.add_option("--depth", args.depth, "requests in flight of a caller");
    line.require_range("--depth", 1, max_count);
    line.add_option("--seed", args.seed, "seed of all random choices");
    line.require_range("--seed", 0, max_seed);
    line.add_option("--length-ms", args.length_ms, "time during which callers send");
    for (const char* it : {"--take-over-ms",
                           "--add-least-ms",
                           "--add-most-ms",
                           "--order-least-ms",
                           "--order-most-ms",
                           "--cut-ms",
                           "--work-ms",
                           "--length-ms"})
    {
        line.require_range(it, 0, max_ms);
    }
    for (const char* it : {"--refuse", "--run-status-share", "--copies"})
    {
        line.require_range(it, 0, 1);
    }
}

bool are_addresses(const once_arguments& args)
{
    const bool are_gateways =
        std::all_of(args.gateways.begin(),
                    args.gateways.end(),
                    [](const std::string& it) { return is_endpoint_text(it); });
    return are_gateways && !args.gateways.empty() && is_endpoint_text(args.store) &&
           (args.relayed_store.empty() || is_endpoint_text(args.relayed_store));
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-once",
                      "Servers and callers of a trial of work that must run once.");
    once_arguments args;
    add_options(line, args);
    if (std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    if (!are_addresses(args))
    {
        std::fprintf(stderr,
                     "--listen, --relayed-listen and --gateway must be addresses of the "
                     "form IP:port\n");
        return exit_bad_usage;
    }
    std::unique_ptr<event_log> log =
        event_log::to_stderr(line.program(), severity::warning);
    return run_to_status(*log, [&] { return serve(args, *log); });
}
