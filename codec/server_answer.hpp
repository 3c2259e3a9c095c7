#pragma once

// The body of a fake server's answer. It names the request that it belongs to and its own
// length, so that a caller can detect a truncated answer or the answer to another
// request.

#include "core/base/epoch.hpp"
#include "core/base/names.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace camphorrock
{

struct server_answer
{
    std::string run; // identifies the run that produced the answer
    server_id server;
    service_name service;
    std::string key;
    epoch since; // that the request carried; "epoch" in JSON
    request_id id;
    std::string tag;
    std::string attempt;
    std::uint64_t padding_bytes = 0; // length of the member "padding"
};

// Returns the answer as a JSON object, with the padding in its last member.
std::string write_server_answer(const server_answer& answer);

// Returns nullopt if the text is not such an object, or if its padding is truncated.
std::optional<server_answer> read_server_answer(const std::string& text);

} // namespace camphorrock
