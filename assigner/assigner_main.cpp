#include "app/program.hpp"
#include "assigner/assigner.hpp"
#include "assigner/assigner_settings.hpp"

namespace
{

using namespace camphorrock;

int run(const assigner_settings& settings, event_log& log)
{
    return value_or_handle(
        [&]() -> result<int>
        {
            BOOST_LEAF_AUTO(made, assigner::create(settings, log));
            return made->run();
        },
        [&](const error& ec)
        {
            log.write(event_id::listen_failed, {{"fault", ec.text}});
            return exit_failure;
        });
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-assigner",
                      "Assigns partitions to servers and takes operators' patches.");
    return run_program<assigner_settings>(line, argc, argv, read_assigner_settings, run);
}
