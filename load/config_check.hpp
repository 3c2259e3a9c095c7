#pragma once

// The part of the history check that judges the configuration: which patches were
// accepted, what the store's document listed, and what routers served with.

#include "codec/history.hpp"
#include "load/violation.hpp"

#include <cstddef>
#include <vector>

namespace camphorrock
{

struct config_history
{
    std::vector<patch_record> patches;
    std::vector<router_config_record> routers;
    std::vector<config_document_record> documents;
};

// An accepted patch is in force, or a router refuses, within this time.
constexpr history_time config_bound_us = 6'000'000;

// All faults of the configuration. O(n log n) in the records, and O(documents * patches)
// for the patches that each document lists.
std::vector<violation> find_config_faults(const config_history& history);

// Patches of different ids that an operator was told to be accepted.
std::size_t count_accepted(const config_history& history);

} // namespace camphorrock
