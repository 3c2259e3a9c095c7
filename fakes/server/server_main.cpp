// camphorrock-fake-server: a fake of the users' servers. See fake_server.hpp.

#include "app/admin_server.hpp"
#include "app/command_line.hpp"
#include "app/endpoint_text.hpp"
#include "app/program.hpp"
#include "app/query.hpp"
#include "fakes/server/fake_server.hpp"
#include "net/http_status.hpp"

#include <csignal>

using namespace camphorrock;

namespace
{

// The period of checks whether all requests have ended.
constexpr milliseconds drain_poll_period{20};
constexpr double max_ms = 3600e3;
constexpr double max_count = 1e6;

struct server_arguments
{
    std::string listen = "127.0.0.1:0";
    std::string admin = "127.0.0.1:0";
    std::string id;
    std::string history;
    bool no_check_epoch = false;
    std::int64_t slots = 3;
    std::int64_t queue = 64;
    std::int64_t connections = 110;
    std::int64_t seed = 1;
    std::int64_t answer_bytes = 200;
    double short_ms = 10;
    double long_min_ms = 250;
    double long_max_ms = 750;
    double straggler_share = 0;
    double straggler_factor = 20;
    double cold_ms = 0;
    double cold_factor = 5;
    double fail_share = 0;
    double shed_share = 0;
};

duration from_ms(double value)
{
    constexpr double microseconds_per_millisecond = 1000;
    return duration(static_cast<duration::rep>(value * microseconds_per_millisecond));
}

void add_count(command_line& line,
               const char* name,
               std::int64_t& value,
               const char* help,
               double min)
{
    line.add_option(name, value, help);
    line.require_range(name, min, max_count);
}

void add_number(
    command_line& line, const char* name, double& value, const char* help, double max)
{
    line.add_option(name, value, help);
    line.require_range(name, 0, max);
}

void add_options(command_line& line, server_arguments& args)
{
    line.add_option("--listen", args.listen, "address for grants and requests");
    line.add_option("--admin", args.admin, "address for /metrics and POST /behaviour");
    line.add_option("--id", args.id, "id of the server");
    line.require("--id");
    line.add_option("--history", args.history, "file for the history of runs and grants");
    line.add_flag("--no-check-epoch", args.no_check_epoch, "run requests of any epoch");
    add_count(line, "--slots", args.slots, "requests that run at the same time", 1);
    add_count(line, "--queue", args.queue, "maximum number of queued requests", 0);
    add_count(
        line, "--connections", args.connections, "maximum number of open connections", 1);
    add_count(
        line, "--answer-bytes", args.answer_bytes, "bytes of padding in each answer", 0);
    line.add_option("--seed", args.seed, "seed of all random draws");
    add_number(
        line, "--short-ms", args.short_ms, "mean service time of short work, ms", max_ms);
    add_number(line,
               "--long-min-ms",
               args.long_min_ms,
               "minimum service time of long work, ms",
               max_ms);
    add_number(line,
               "--long-max-ms",
               args.long_max_ms,
               "maximum service time of long work, ms",
               max_ms);
    add_number(line,
               "--straggler-share",
               args.straggler_share,
               "fraction of requests that are stragglers",
               1);
    add_number(line,
               "--straggler-factor",
               args.straggler_factor,
               "multiplier of a straggler's service time",
               max_count);
    add_number(line,
               "--cold-ms",
               args.cold_ms,
               "duration of the cold period after the start, ms",
               max_ms);
    add_number(line,
               "--cold-factor",
               args.cold_factor,
               "multiplier of service times in the cold period",
               max_count);
    add_number(
        line, "--fail-share", args.fail_share, "fraction of runs that answer 500", 1);
    add_number(line,
               "--shed-share",
               args.shed_share,
               "fraction of requests that are refused",
               1);
}

server_options to_options(const server_arguments& args)
{
    server_options options;
    options.id = server_id(args.id);
    options.checks_epoch = !args.no_check_epoch;
    options.slots = static_cast<std::size_t>(args.slots);
    options.max_queued = static_cast<std::size_t>(args.queue);
    options.answer_bytes = static_cast<std::size_t>(args.answer_bytes);
    options.seed = static_cast<std::uint64_t>(args.seed);
    options.times = {from_ms(args.short_ms),
                     from_ms(args.long_min_ms),
                     from_ms(args.long_max_ms),
                     args.straggler_share,
                     args.straggler_factor,
                     from_ms(args.cold_ms),
                     args.cold_factor};
    options.behaviour.fail_share = args.fail_share;
    options.behaviour.shed_share = args.shed_share;
    return options;
}

// POST /behaviour?fail_share=..&shed_share=..&slow_factor=..: absent parameters leave
// their values unchanged.
http_response change_behaviour(const http_request& request, server_behaviour& behaviour)
{
    std::string_view target = request.target;
    server_behaviour wanted{
        query_number(target, "fail_share").value_or(behaviour.fail_share),
        query_number(target, "shed_share").value_or(behaviour.shed_share),
        query_number(target, "slow_factor").value_or(behaviour.slow_factor)};
    if (wanted.fail_share > 1 || wanted.shed_share > 1)
    {
        return make_text_response(http_status::bad_request, "a share is 0 to 1\n");
    }
    behaviour = wanted;
    return make_text_response(http_status::ok, "ok\n");
}

result<int> serve(const server_arguments& args, event_log& log)
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    BOOST_LEAF_AUTO(history, line_file::open(args.history));
    fake_server server(*loop, to_options(args), history, log);
    http_server_options options;
    options.address = endpoint(args.listen);
    options.max_connections = static_cast<unsigned>(args.connections);
    BOOST_LEAF_AUTO(http, http_server::create(*loop, options, server));

    metrics_registry metrics;
    gauge& busy = metrics.get_gauge({"camphorrock_server_busy_slots", "slots in use"});
    gauge& queued = metrics.get_gauge({"camphorrock_server_queued", "requests waiting"});
    metrics.before_export(
        [&]
        {
            busy.set(static_cast<double>(server.slots().busy()));
            queued.set(static_cast<double>(server.slots().queued()));
        });
    bool is_stopping = false;
    BOOST_LEAF_AUTO(
        admin,
        admin_server::create(
            *loop, endpoint(args.admin), metrics, [&] { return !is_stopping; }));
    admin->add("POST",
               "/behaviour",
               [&](const http_request& request)
               { return change_behaviour(request, server.behaviour()); });

    timer_handle poll;
    auto stop = [&]
    {
        is_stopping = true;
        server.drain();
        log.write(event_id::program_stopping, {{"in_flight", http->in_flight()}});
        poll = loop->every(drain_poll_period,
                           [&]
                           {
                               if (http->in_flight() == 0)
                               {
                                   loop->stop();
                               }
                           });
    };
    watch_handle on_term = loop->on_signal(SIGTERM, stop);
    watch_handle on_int = loop->on_signal(SIGINT, stop);
    log.write(event_id::program_ready,
              {{"address", http->bound()}, {"admin", admin->bound()}, {"id", args.id}});
    print_listening(http->bound());
    loop->run();
    log.write(event_id::program_stopped, {});
    if (history.has_failed())
    {
        return fail(error_code::io,
                    args.history + ": some history records could not be written");
    }
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-fake-server", "A fake of the users' servers.");
    server_arguments args;
    add_options(line, args);
    if (std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    if (!is_endpoint_text(args.listen) || !is_endpoint_text(args.admin))
    {
        std::fprintf(stderr,
                     "--listen and --admin must be addresses of the form IP:port\n");
        return exit_bad_usage;
    }
    std::unique_ptr<event_log> log =
        event_log::to_stderr(line.program(), line.log_level());
    return run_to_status(*log, [&] { return serve(args, *log); });
}
