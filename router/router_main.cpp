#include "app/program.hpp"
#include "router/router.hpp"
#include "router/router_settings.hpp"

namespace
{

using namespace camphorrock;

int run(const router_settings& settings, event_log& log)
{
    return run_to_status(log,
                         [&]() -> result<int>
                         {
                             BOOST_LEAF_AUTO(made, router::create(settings, log));
                             return made->run();
                         });
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-router",
                      "Routes each request to the server that owns its key.");
    return run_program<router_settings>(line, argc, argv, read_router_settings, run);
}
