#pragma once

// What the operator and the servers write to the store of a fake site: a configuration
// with the services shelf and diary (keyed), and the entries of servers.

#include "core/base/names.hpp"

#include <string>
#include <string_view>

namespace camphorrock::fakes
{

constexpr const char* shelf_service = "shelf";
constexpr const char* diary_service = "diary";

struct site_config_options
{
    unsigned max_attempts = 2; // of each route
    bool has_keyed_service = true;
};

// Routes of the host camphorrock.example: /look/ (safe) and /reserve/ (unsafe) go to
// shelf, /visit/ (unsafe) goes to diary, if there is a keyed service. Gateways are not
// ready before its keys have owners.
std::string site_config_text(const site_config_options& options);

enum class site_entry_state
{
    ready,
    draining,
};

// "ready", "draining".
std::string_view name_of(site_entry_state value);

struct site_entry
{
    std::string service;
    endpoint address;
    int slots = 0;
    site_entry_state state = site_entry_state::ready;
};

std::string site_entry_text(const site_entry& of);

} // namespace camphorrock::fakes
