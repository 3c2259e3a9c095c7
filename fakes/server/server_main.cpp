// camphorrock-fake-server: a stand-in for the users' servers; see test_server.hpp.

#include "app/admin_server.hpp"
#include "app/command_line.hpp"
#include "app/endpoint_text.hpp"
#include "app/program.hpp"
#include "app/query.hpp"
#include "fakes/server/test_server.hpp"
#include "net/http_status.hpp"

#include <csignal>

using namespace camphorrock;

namespace
{

constexpr milliseconds stop_poll{20}; // between two looks whether all work has ended
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
               double first)
{
    line.add_option(name, value, help);
    line.require_range(name, first, max_count);
}

void add_number(
    command_line& line, const char* name, double& value, const char* help, double last)
{
    line.add_option(name, value, help);
    line.require_range(name, 0, last);
}

void add_options(command_line& line, server_arguments& args)
{
    line.add_option("--listen", args.listen, "address for grants and requests");
    line.add_option("--admin", args.admin, "address for /metrics and POST /behaviour");
    line.add_option("--id", args.id, "the server's name");
    line.require("--id");
    line.add_option("--history", args.history, "file for the records of runs and grants");
    line.add_flag("--no-check-epoch", args.no_check_epoch, "take requests of any epoch");
    add_count(line, "--slots", args.slots, "requests worked on at once", 1);
    add_count(line, "--queue", args.queue, "requests that wait at most", 0);
    add_count(line, "--connections", args.connections, "open connections at most", 1);
    add_count(line, "--answer-bytes", args.answer_bytes, "padding of each answer", 0);
    line.add_option("--seed", args.seed, "of all random choices");
    add_number(line, "--short-ms", args.short_ms, "mean time of short work", max_ms);
    add_number(
        line, "--long-min-ms", args.long_min_ms, "least time of long work", max_ms);
    add_number(line, "--long-max-ms", args.long_max_ms, "most time of long work", max_ms);
    add_number(line, "--straggler-share", args.straggler_share, "share of stragglers", 1);
    add_number(
        line, "--straggler-factor", args.straggler_factor, "how much longer", max_count);
    add_number(line, "--cold-ms", args.cold_ms, "slow time after the start", max_ms);
    add_number(line, "--cold-factor", args.cold_factor, "how much slower", max_count);
    add_number(line, "--fail-share", args.fail_share, "share of runs answering 500", 1);
    add_number(line, "--shed-share", args.shed_share, "share of requests refused", 1);
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

// POST /behaviour?fail_share=..&shed_share=..&slow_factor=..: what is absent stays.
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
    test_server server(*loop, to_options(args), history, log);
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
        poll = loop->every(stop_poll,
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
        return fail(error_code::io, args.history + ": records were lost");
    }
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-fake-server", "A stand-in for the users' servers.");
    server_arguments args;
    add_options(line, args);
    if (std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    if (!is_endpoint_text(args.listen) || !is_endpoint_text(args.admin))
    {
        std::fprintf(stderr, "--listen and --admin must be addresses as IP:port\n");
        return exit_bad_usage;
    }
    std::unique_ptr<event_log> log =
        event_log::to_stderr(line.program(), line.log_level());
    return run_to_status(*log, [&] { return serve(args, *log); });
}
