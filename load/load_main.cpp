// camphorrock-load: sends an open-loop load with retries to the routers, records every
// attempt in a history, and reports latencies and outcomes.

#include "app/program.hpp"
#include "load/load_runner.hpp"
#include "load/load_settings.hpp"

#include <csignal>

using namespace camphorrock;

namespace
{

// Command-line options, which take precedence over the settings file.
struct load_arguments
{
    bool is_json = false;
    std::string history;
    std::int64_t seed = 0;      // 0: use the settings file's seed
    std::int64_t length_ms = 0; // 0: use the settings file's length
};

load_settings apply_arguments(load_settings settings, const load_arguments& args)
{
    if (!args.history.empty())
    {
        settings.history = args.history;
    }
    if (args.seed != 0)
    {
        settings.seed = static_cast<std::uint64_t>(args.seed);
    }
    if (args.length_ms != 0)
    {
        settings.length = milliseconds(args.length_ms);
    }
    return settings;
}

result<int> send_load(const load_settings& settings, bool is_json, event_log& log)
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    BOOST_LEAF_AUTO(history, line_file::open(settings.history));
    http_client_options options;
    options.max_connections_per_endpoint = settings.connections_per_router;
    BOOST_LEAF_AUTO(http, http_client::create(*loop, options));
    load_runner runner(*loop, *http, history, settings);
    watch_handle on_term = loop->on_signal(SIGTERM, [&] { runner.finish_early(); });
    watch_handle on_int = loop->on_signal(SIGINT, [&] { runner.finish_early(); });
    runner.start([&] { loop->stop(); });
    loop->run();
    log.write(event_id::load_finished, {{"seed", settings.seed}});
    std::string text =
        is_json ? runner.report().to_json() + "\n" : runner.report().to_text();
    std::fputs(text.c_str(), stdout);
    if (history.has_failed())
    {
        return fail(error_code::io,
                    settings.history +
                        ": could not write all records; the history is incomplete");
    }
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-load",
                      "Sends load to routers and records the outcomes.");
    load_arguments args;
    line.add_flag("--json", args.is_json, "print the report as JSON");
    line.add_option(
        "--history", args.history, "file to append a record of each attempt to");
    line.add_option(
        "--seed", args.seed, "seed of all random choices; 0: use the settings file's");
    line.add_option("--length-ms",
                    args.length_ms,
                    "duration of the load in ms; 0: use the settings file's");
    constexpr double max_value = 1e9;
    line.require_range("--seed", 0, max_value);
    line.require_range("--length-ms", 0, max_value);
    return run_program<load_settings>(
        line,
        argc,
        argv,
        read_load_settings,
        [&](const load_settings& settings, event_log& log)
        {
            load_settings used = apply_arguments(settings, args);
            return run_to_status(log, [&] { return send_load(used, args.is_json, log); });
        });
}
