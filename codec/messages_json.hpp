#pragma once

// The JSON forms of the messages.
//
//     Json::Value params = write_message(lease_vote_params{shard, version});
//     result<lease_vote_answer> answer = read_message<lease_vote_answer>(value);
//
// Both functions exist for every struct of messages.hpp that is the parameters or the
// result of a method. read_message fails with invalid_argument and the path of the first
// fault.

#include "codec/messages.hpp"
#include "core/base/result.hpp"

#include <json/value.h>

namespace camphorrock
{

template<class Message>
Json::Value write_message(const Message& message);

template<class Message>
result<Message> read_message(const Json::Value& value);

} // namespace camphorrock
