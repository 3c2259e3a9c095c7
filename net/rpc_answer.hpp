#pragma once

// Parses the result of a JSON-RPC call as a message.
//
//     if (std::optional<clock_answer> answer = read_answer<clock_answer>(got)) ...

#include "codec/messages_json.hpp"
#include "net/rpc_client.hpp"

#include <optional>

namespace camphorrock
{

// Returns nullopt if the call was not answered, or if its result is no such message.
template<class Message>
std::optional<Message> read_answer(const rpc_result& got)
{
    if (got.end != rpc_end::answered)
    {
        return std::nullopt;
    }
    return value_or_handle([&]() -> result<std::optional<Message>>
                           { return read_message<Message>(got.value); },
                           [](const error&) { return std::optional<Message>(); });
}

} // namespace camphorrock
