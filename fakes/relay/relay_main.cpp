// camphorrock-relay: a TCP relay that cuts, stalls, delays or silences connections on
// demand. POST /fault?mode=... sets the fault (see relay_fault.hpp); GET /status shows
// it.

#include "app/admin_server.hpp"
#include "app/command_line.hpp"
#include "app/endpoint_text.hpp"
#include "app/program.hpp"
#include "codec/json_text.hpp"
#include "fakes/relay/relay.hpp"
#include "net/http_status.hpp"

#include <json/value.h>

#include <csignal>

using namespace camphorrock;

namespace
{

struct relay_arguments
{
    std::string listen = "127.0.0.1:0";
    std::string target;
    std::string admin = "127.0.0.1:0";
};

http_response handle_fault_request(relay& to, const http_request& request)
{
    std::optional<relay_fault> fault = parse_relay_fault(request.target);
    if (!fault)
    {
        return make_text_response(
            http_status::bad_request,
            "mode is pass, cut, stall, delay or silence; direction is "
            "both, to_target or to_caller; delay_ms is a number\n");
    }
    return value_or_handle(
        [&]() -> result<http_response>
        {
            BOOST_LEAF_CHECK(to.set_fault(*fault));
            return make_text_response(http_status::ok, "ok\n");
        },
        [](const error& ec)
        { return make_text_response(http_status::server_error, ec.text + "\n"); });
}

http_response show_status(const relay& of)
{
    Json::Value status;
    status["mode"] = std::string(name_of(of.default_fault().mode));
    status["direction"] = std::string(name_of(of.default_fault().direction));
    status["connections"] = Json::UInt64(of.connections());
    return make_json_response(http_status::ok, write_json(status));
}

result<int> serve(const relay_arguments& args, event_log& log)
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    BOOST_LEAF_AUTO(
        made, relay::create(*loop, endpoint(args.listen), endpoint(args.target), log));
    metrics_registry metrics;
    gauge& connections =
        metrics.get_gauge({"camphorrock_relay_connections", "relayed connections"});
    metrics.before_export([&]
                          { connections.set(static_cast<double>(made->connections())); });
    BOOST_LEAF_AUTO(
        admin,
        admin_server::create(*loop, endpoint(args.admin), metrics, [] { return true; }));
    admin->add("POST",
               "/fault",
               [&](const http_request& request)
               { return handle_fault_request(*made, request); });
    admin->add("GET", "/status", [&](const http_request&) { return show_status(*made); });
    watch_handle on_term = loop->on_signal(SIGTERM, [&] { loop->stop(); });
    watch_handle on_int = loop->on_signal(SIGINT, [&] { loop->stop(); });
    log.write(
        event_id::program_ready,
        {{"address", made->bound()}, {"target", args.target}, {"admin", admin->bound()}});
    print_listening(made->bound());
    loop->run();
    log.write(event_id::program_stopped, {});
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-relay", "A TCP relay that injects faults.");
    relay_arguments args;
    line.add_option("--listen", args.listen, "address to listen on");
    line.add_option("--target", args.target, "address to forward to");
    line.require("--target");
    line.add_option("--admin", args.admin, "address for POST /fault and GET /status");
    if (std::optional<int> status = line.parse(argc, argv))
    {
        return *status;
    }
    for (const std::string& it : {args.listen, args.target, args.admin})
    {
        if (!is_endpoint_text(it))
        {
            std::fprintf(
                stderr, "\"%s\" is not an address of the form IP:port\n", it.c_str());
            return exit_bad_usage;
        }
    }
    std::unique_ptr<event_log> log =
        event_log::to_stderr(line.program(), line.log_level());
    return run_to_status(*log, [&] { return serve(args, *log); });
}
