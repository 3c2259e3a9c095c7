#pragma once

// The commands of camphorrock-ctl. Each prints its result and returns the exit status: 0,
// 1 if no assigner could execute it, 2 for bad input, 3 for a stale patch.

#include "ctl/operator_client.hpp"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace camphorrock
{

constexpr int exit_stale = 3; // the patch's base is not the current version

struct command_context
{
    const operator_client& assigners;
    std::ostream& out;
    std::ostream& errors;
    bool is_json = false; // print JSON rather than text
};

struct patch_submission
{
    std::uint64_t base = 0; // the version that the patch was made for
    std::string id;         // of the patch; empty: a random one
    std::string file;       // YAML; "-" is standard input
};

int show_config(const command_context& context);
int patch_config(const command_context& context, const patch_submission& submission);
int show_status(const command_context& context);

// Prints the trace of a request from the log files of gateways, and the cause of its
// outcome. "-" is standard input.
int explain_request(const command_context& context,
                    const std::string& request,
                    const std::vector<std::string>& files);

// Prints the owner of a key and the latest changes of its partition.
int explain_key(const command_context& context,
                const std::string& service,
                const std::string& key);

// Moves one key to a server, as a partition of its own.
int move_key(const command_context& context,
             const std::string& service,
             const std::string& key,
             const std::string& server);

// Lifts the verdict on a request that crashes servers, by its fingerprint as gateways log
// it. Asks one gateway, which tells the others.
int lift_verdict(const command_context& context, const std::string& fingerprint);

// Submits a patch that marks a server as draining in each service that names it.
int drain_server(const command_context& context, const std::string& server);

} // namespace camphorrock
