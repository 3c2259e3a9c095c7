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
    patch_submission patch;
    std::string service;
    std::string key;
    std::string server;
    std::string request;
    std::string fingerprint;
    std::vector<std::string> log_files;
};

operator_client make_client(const arguments& args)
{
    operator_client_options options;
    for (const std::string& it : args.assigners)
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
    CLI::App* lift = nullptr;
};

commands declare_commands(CLI::App& app, arguments& args)
{
    app.set_version_flag("--version", CAMPHORROCK_VERSION);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option(
           "--assigner", args.assigners, "peer address of an assigner; may be repeated")
        ->envname("CAMPHORROCK_ASSIGNERS")
        ->delimiter(',');
    app.add_flag("--json", args.is_json, "print JSON");
    commands made;
    CLI::App* config = app.add_subcommand("config", "the fleet's configuration");
    config->require_subcommand(1);
    made.show = config->add_subcommand("show", "print the configuration");
    made.patch = config->add_subcommand("patch", "submit a merge patch, written in YAML");
    made.patch
        ->add_option("--base", args.patch.base, "version that the patch was made for")
        ->required();
    made.patch->add_option(
        "--id", args.patch.id, "id of the patch; the same id is applied once");
    made.patch
        ->add_option("file", args.patch.file, "file with the patch; - for standard input")
        ->required();
    made.status = app.add_subcommand(
        "status", "print the state of the fleet and which routers lag behind");
    made.explain =
        app.add_subcommand("explain", "print which server owns a key, and why");
    made.explain->add_option("service", args.service)->required();
    made.explain->add_option("key", args.key)->required();
    made.request =
        app.add_subcommand("request",
                           "print the trace of a request from gateways' logs and the "
                           "cause of its outcome, as in\n"
                           "  camphorrock-ctl request 9c41d07be2a35f68 gateway-*.log");
    made.request->add_option("id", args.request)->required();
    made.request
        ->add_option("log", args.log_files, "files of JSON lines; - for standard input")
        ->required();
    made.move = app.add_subcommand("move", "move one key to another server");
    made.move->add_option("service", args.service)->required();
    made.move->add_option("key", args.key)->required();
    made.move->add_option("server", args.server)->required();
    made.drain = app.add_subcommand("drain", "move all partitions off a server");
    made.drain->add_option("server", args.server)->required();
    made.lift = app.add_subcommand(
        "lift-verdict",
        "let a request be sent again that was refused because servers crash under it;\n"
        "--assigner names the peer address of a gateway");
    made.lift->add_option("fingerprint", args.fingerprint, "as in the gateways' logs")
        ->required();
    return made;
}

int run(const commands& made, const arguments& args)
{
    if (args.assigners.empty() && !made.request->parsed())
    {
        std::cerr << "--assigner or CAMPHORROCK_ASSIGNERS is required\n";
        return exit_bad_usage;
    }
    operator_client client = make_client(args);
    command_context context{client, std::cout, std::cerr, args.is_json};
    if (made.request->parsed())
    {
        return explain_request(context, args.request, args.log_files);
    }
    if (made.show->parsed())
    {
        return show_config(context);
    }
    if (made.patch->parsed())
    {
        return patch_config(context, args.patch);
    }
    if (made.status->parsed())
    {
        return show_status(context);
    }
    if (made.explain->parsed())
    {
        return explain_key(context, args.service, args.key);
    }
    if (made.move->parsed())
    {
        return move_key(context, args.service, args.key, args.server);
    }
    if (made.lift->parsed())
    {
        return lift_verdict(context, args.fingerprint);
    }
    return drain_server(context, args.server);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Operates a camphorrock fleet.", "camphorrock-ctl");
    arguments args;
    commands made = declare_commands(app, args);
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& ec)
    {
        int status = app.exit(ec);
        return status == 0 ? exit_ok : exit_bad_usage;
    }
    return run(made, args);
}
