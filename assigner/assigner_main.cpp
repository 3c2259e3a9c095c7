#include "app/program.hpp"
#include "assigner/assigner.hpp"
#include "assigner/assigner_settings.hpp"

namespace
{

using namespace camphorrock;

int run(const assigner_settings& settings, event_log& log)
{
    return run_to_status(log,
                         [&]() -> result<int>
                         {
                             BOOST_LEAF_AUTO(made, assigner::create(settings, log));
                             return made->run();
                         });
}

} // namespace

int main(int argc, char** argv)
{
    command_line line("camphorrock-assigner",
                      "Assigns partitions to servers and applies operators' patches.");
    return run_program<assigner_settings>(line, argc, argv, read_assigner_settings, run);
}
