#pragma once

// The body that a stand-in server answers with. It names the request that it belongs to
// and its own length, so that a caller can tell a foreign or a cut answer.

#include "core/base/epoch.hpp"
#include "core/base/names.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace camphorrock
{

struct server_answer
{
    std::string run; // the run that made the answer
    server_id server;
    service_name service;
    std::string key;
    epoch since;
    request_id id;
    std::string tag;
    std::string attempt;
    std::uint64_t padding_bytes = 0; // length of the padding that follows
};

// The answer as a JSON object with the padding as its last member.
std::string write_server_answer(const server_answer& answer);

// None where the text is no such object or lacks a part of its padding.
std::optional<server_answer> read_server_answer(const std::string& text);

} // namespace camphorrock
