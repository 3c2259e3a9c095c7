#pragma once

// The commands of camphorrock-ctl. Each prints its result and returns the exit status: 0,
// 1 where no assigner could do it, 2 for bad input, 3 for a stale patch.

#include "ctl/operator_client.hpp"

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace camphorrock
{

constexpr int exit_stale = 3;

struct command_context
{
    const operator_client& assigners;
    std::ostream& out;
    std::ostream& faults;
    bool is_json = false;
};

struct patch_order
{
    std::uint64_t base = 0;
    std::string id;   // empty: one is drawn
    std::string file; // YAML; "-" is standard input
};

int show_config(const command_context& context);
int patch_config(const command_context& context, const patch_order& order);
int show_status(const command_context& context);

// Prints what log files tell of a request, and its cause. "-" is standard input.
int explain_request(const command_context& context,
                    const std::string& request,
                    const std::vector<std::string>& files);

int explain_key(const command_context& context,
                const std::string& service,
                const std::string& key);

// Gives one key to a server, on a partition of its own.
int move_key(const command_context& context,
             const std::string& service,
             const std::string& key,
             const std::string& server);

// Declares a server as draining, in whichever services name it.
int drain_server(const command_context& context, const std::string& server);

} // namespace camphorrock
