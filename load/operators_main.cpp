// camphorrock-operators: submits concurrent configuration patches as several operators.
// Records the answers, the configuration document in the store, and the version that each
// router serves with.

#include "app/program.hpp"
#include "load/config_poller.hpp"
#include "load/operators_runner.hpp"
#include "load/operators_settings.hpp"

#include <cstdio>

using namespace camphorrock;

namespace
{

result<int> run_operators(const operators_settings& settings, event_log& log)
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    BOOST_LEAF_AUTO(history, line_file::open(settings.history));
    BOOST_LEAF_AUTO(http, http_client::create(*loop, {}));
    store_client_options options;
    options.endpoints = settings.store;
    BOOST_LEAF_AUTO(store, create_store_client(*loop, *http, options));
    version_lag lag;
    config_poller poller(*loop, *http, *store, history, lag, settings);
    operators_runner runner(*loop, *http, history, poller, lag, settings);
    runner.start([&] { loop->stop(); });
    loop->run();
    log.write(event_id::load_finished, {{"seed", settings.seed}});
    std::printf("%s\n", to_json(runner.report(), lag).c_str());
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
    command_line line("camphorrock-operators",
                      "Submits concurrent configuration patches; records the answers and "
                      "which version each router serves with.");
    std::string history;
    line.add_option("--history", history, "file to append the records to");
    return run_program<operators_settings>(
        line,
        argc,
        argv,
        read_operators_settings,
        [&](operators_settings settings, event_log& log)
        {
            settings.history = history.empty() ? settings.history : history;
            return run_to_status(log, [&] { return run_operators(settings, log); });
        });
}
