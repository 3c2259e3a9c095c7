#pragma once

// Finds violations of the configuration's guarantees in a history: compares the accepted
// patches, the configuration documents in the store, and the versions that the routers
// served with.

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

// Within this time after a patch is accepted, every router serves with its version or a
// newer one, or refuses requests.
constexpr history_time max_config_lag_us = 6'000'000;

// Returns all violations that concern the configuration. Takes O(n log n) time in the
// number of records, plus O(documents * patches) for looking up the accepted patches in
// the documents.
std::vector<violation> find_config_violations(const config_history& history);

// Returns the number of distinct patch ids for which an operator received the answer
// "accepted".
std::size_t count_accepted(const config_history& history);

} // namespace camphorrock
