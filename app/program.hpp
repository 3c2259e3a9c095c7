#pragma once

// Starts a program that has a settings file: command line, settings, log.
//
//     int main(int argc, char** argv)
//     {
//         command_line line("camphorrock-router", "...");
//         return run_program<router_settings>(line, argc, argv, read_router_settings,
//         run);
//     }
//
// `read` is `Settings(settings_map root)`, and `run` is `int(const Settings&,
// event_log&)`.

#include "app/command_line.hpp"
#include "app/event_log.hpp"
#include "app/settings_reader.hpp"

#include <cstdio>
#include <optional>

namespace camphorrock
{

// Reads a settings file. Fails with all its faults, one per line.
template<class Settings, class Read>
result<Settings> read_settings_file(const std::string& path, Read read)
{
    BOOST_LEAF_AUTO(reader, settings_reader::from_file(path));
    Settings settings = read(reader.root());
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

// Prints "listening ADDRESS" on standard output, for scripts that wait for the program.
inline void print_listening(const endpoint& bound)
{
    std::printf("listening %s\n", bound.str().c_str());
    std::fflush(stdout);
}

// Runs `body`, which returns its exit status as a result<int>, and returns that status.
// If it fails, logs program_failed and returns exit_failure.
template<class Body>
int run_to_status(event_log& log, Body body)
{
    return value_or_handle(body,
                           [&](const error& ec)
                           {
                               log.write(event_id::program_failed, {{"text", ec.text}});
                               return exit_failure;
                           });
}

// Returns the exit status: that of `run`, or of --help, --version or --check-config, or
// exit_bad_usage after a fault in the command line or the settings file, which is
// printed.
template<class Settings, class Read, class Run>
int run_program(command_line& line, int argc, char** argv, Read read, Run run)
{
    line.add_config();
    if (std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    std::optional<Settings> settings = value_or_handle(
        [&]() -> result<std::optional<Settings>>
        {
            BOOST_LEAF_AUTO(loaded,
                            read_settings_file<Settings>(line.config_file(), read));
            return std::optional<Settings>(std::move(loaded));
        },
        [](const error& ec) -> std::optional<Settings>
        {
            std::fprintf(stderr, "%s\n", ec.text.c_str());
            return std::nullopt;
        });
    if (!settings)
    {
        return exit_bad_usage;
    }
    if (line.is_check_only())
    {
        std::puts("ok");
        return exit_ok;
    }
    std::unique_ptr<event_log> log =
        event_log::to_stderr(line.program(), line.log_level());
    log->write(event_id::program_started,
               {{"version", CAMPHORROCK_VERSION}, {"config", line.config_file()}});
    return run(*settings, *log);
}

} // namespace camphorrock
