#pragma once

// Reads the result of an answered remote call as a message.
//
//     if (std::optional<vouch_answer> answer = read_answer<vouch_answer>(got)) ...

#include "codec/messages_json.hpp"
#include "net/rpc_client.hpp"

#include <optional>

namespace camphorrock
{

// None for a call that ended otherwise, or an answer that is not such a message.
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
