#include "app/command_line.hpp"

#include <CLI/CLI.hpp>

namespace camphorrock
{

struct command_line::impl
{
    impl(const std::string& name, const std::string& description)
        : program(name), app(description, name)
    {
    }

    std::string program;
    CLI::App app;
    std::string config_file;
    bool is_check_only = false;
    std::string log_level = "info";
};

command_line::command_line(const std::string& program, const std::string& description)
    : impl_(std::make_unique<impl>(program, description))
{
    impl_->app.set_version_flag("--version", program + " " CAMPHORROCK_VERSION);
    impl_->app.add_option("--log-level", impl_->log_level, "lowest severity to log")
        ->check(CLI::IsMember({"debug", "info", "warning", "error"}))
        ->capture_default_str();
}

command_line::~command_line() = default;

void command_line::add_config()
{
    impl_->app.add_option("--config", impl_->config_file, "settings file (YAML)")
        ->required();
    impl_->app.add_flag("--check-config",
                        impl_->is_check_only,
                        "check the settings file, print \"ok\" or the faults, and exit");
}

void command_line::add_option(const std::string& name,
                              std::string& value,
                              const std::string& help)
{
    impl_->app.add_option(name, value, help)->capture_default_str();
}

void command_line::add_option(const std::string& name,
                              std::int64_t& value,
                              const std::string& help)
{
    impl_->app.add_option(name, value, help)->capture_default_str();
}

void command_line::add_option(const std::string& name,
                              double& value,
                              const std::string& help)
{
    impl_->app.add_option(name, value, help)->capture_default_str();
}

void command_line::add_option(const std::string& name,
                              std::vector<std::string>& values,
                              const std::string& help)
{
    impl_->app.add_option(name, values, help);
}

void command_line::add_flag(const std::string& name, bool& value, const std::string& help)
{
    impl_->app.add_flag(name, value, help);
}

void command_line::require(const std::string& name)
{
    impl_->app.get_option(name)->required();
}

void command_line::require_range(const std::string& name, double first, double last)
{
    impl_->app.get_option(name)->check(CLI::Range(first, last));
}

std::optional<int> command_line::parse(int argc, const char* const* argv)
{
    try
    {
        impl_->app.parse(argc, argv);
    }
    catch (const CLI::ParseError& ec)
    {
        return impl_->app.exit(ec) == 0 ? exit_ok : exit_bad_usage;
    }
    return std::nullopt;
}

const std::string& command_line::program() const
{
    return impl_->program;
}

const std::string& command_line::config_file() const
{
    return impl_->config_file;
}

bool command_line::is_check_only() const
{
    return impl_->is_check_only;
}

severity command_line::log_level() const
{
    return parse_severity(impl_->log_level).value_or(severity::info);
}

} // namespace camphorrock
