#include "app/command_line.hpp"
#include "ctl/command.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

namespace
{

using namespace camphorrock;

struct arguments
{
    std::vector<std::string> assigners;
    bool is_json = false;
    patch_order patch;
    std::string service;
    std::string key;
    std::string server;
    std::string request;
    std::vector<std::string> logs;
};

operator_client make_client(const arguments& given)
{
    operator_client_options options;
    for (const std::string& it : given.assigners)
    {
        options.assigners.emplace_back(it);
    }
    return operator_client(std::move(options));
}

struct commands
{
    CLI::App* show = nullptr;
    CLI::App* patch = nullptr;
    CLI::App* status = nullptr;
    CLI::App* explain = nullptr;
    CLI::App* request = nullptr;
    CLI::App* move = nullptr;
    CLI::App* drain = nullptr;
};

commands declare(CLI::App& app, arguments& given)
{
    app.set_version_flag("--version", CAMPHORROCK_VERSION);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option(
           "--assigner", given.assigners, "peer address of an assigner; may be repeated")
        ->envname("CAMPHORROCK_ASSIGNERS")
        ->delimiter(',');
    app.add_flag("--json", given.is_json, "print JSON");
    commands made;
    CLI::App* config = app.add_subcommand("config", "the fleet's configuration");
    config->require_subcommand(1);
    made.show = config->add_subcommand("show", "print the configuration");
    made.patch = config->add_subcommand("patch", "submit a merge patch, written in YAML");
    made.patch
        ->add_option("--base", given.patch.base, "version that the patch was made for")
        ->required();
    made.patch->add_option(
        "--id", given.patch.id, "id of the patch; the same id is applied once");
    made.patch
        ->add_option(
            "file", given.patch.file, "file with the patch; - for standard input")
        ->required();
    made.status =
        app.add_subcommand("status", "print the state of the fleet, and who lags");
    made.explain = app.add_subcommand("explain", "print who owns a key, and why");
    made.explain->add_option("service", given.service)->required();
    made.explain->add_option("key", given.key)->required();
    made.request = app.add_subcommand(
        "request",
        "print what gateways' logs tell of a request and why it ended so, as in\n"
        "  camphorrock-ctl request 9c41d07be2a35f68 gateway-*.log");
    made.request->add_option("id", given.request)->required();
    made.request
        ->add_option("log", given.logs, "files of JSON lines; - for standard input")
        ->required();
    made.move = app.add_subcommand("move", "give one key to another server");
    made.move->add_option("service", given.service)->required();
    made.move->add_option("key", given.key)->required();
    made.move->add_option("server", given.server)->required();
    made.drain = app.add_subcommand("drain", "move all partitions off a server");
    made.drain->add_option("server", given.server)->required();
    return made;
}

int run(const commands& made, const arguments& given)
{
    if (given.assigners.empty() && !made.request->parsed())
    {
        std::cerr << "--assigner is required\n";
        return exit_bad_usage;
    }
    operator_client client = make_client(given);
    command_context context{client, std::cout, std::cerr, given.is_json};
    if (made.request->parsed())
    {
        return explain_request(context, given.request, given.logs);
    }
    if (made.show->parsed())
    {
        return show_config(context);
    }
    if (made.patch->parsed())
    {
        return patch_config(context, given.patch);
    }
    if (made.status->parsed())
    {
        return show_status(context);
    }
    if (made.explain->parsed())
    {
        return explain_key(context, given.service, given.key);
    }
    if (made.move->parsed())
    {
        return move_key(context, given.service, given.key, given.server);
    }
    return drain_server(context, given.server);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Operates a camphorrock fleet.", "camphorrock-ctl");
    arguments given;
    commands made = declare(app, given);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& ec)
    {
        int status = app.exit(ec);
        return status == 0 ? exit_ok : exit_bad_usage;
    }
    return run(made, given);
}
