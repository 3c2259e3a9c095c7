#pragma once

// The command line of a program, parsed by CLI11, with the options that programs share:
// --help, --version, --config FILE, --check-config and --log-level LEVEL.
//
//     command_line line("camphorrock-router", "Routes requests to owning servers.");
//     line.add_config();
//     line.add_option("--listen", listen, "address for callers");
//     if (std::optional<int> status = line.parse(argc, argv)) return *status;

#include "app/severity.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

// Exit statuses of all programs.
constexpr int exit_ok = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_usage = 2; // bad command line or settings

class command_line
{
public:
    command_line(const std::string& program, const std::string& description);
    command_line(const command_line&) = delete;
    command_line& operator=(const command_line&) = delete;
    ~command_line();

    // Adds --config FILE, which is required, and --check-config.
    void add_config();

    // Add options of the program. The variable holds the default and must outlive
    // parse().
    void add_option(const std::string& name, std::string& value, const std::string& help);
    void
    add_option(const std::string& name, std::int64_t& value, const std::string& help);
    void add_option(const std::string& name, double& value, const std::string& help);
    void add_option(const std::string& name,
                    std::vector<std::string>& values,
                    const std::string& help);
    void add_flag(const std::string& name, bool& value, const std::string& help);

    // Makes an option required that was added before.
    void require(const std::string& name);

    // Allows only values from `first` to `last` for an option that was added before.
    void require_range(const std::string& name, double first, double last);

    // Returns the exit status if the program must exit at once, otherwise nullopt: 0
    // after --help and --version, 2 after an error, which is printed.
    std::optional<int> parse(int argc, const char* const* argv);

    const std::string& program() const;
    const std::string& config_file() const;
    bool is_check_only() const;
    severity log_level() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace camphorrock
