#pragma once

// The JSON forms of the messages.
//
//     Json::Value params = write_message(vouch_params{shard, version});
//     result<vouch_answer> got = read_message<vouch_answer>(value);
//
// Both exist for every struct of messages.hpp that is a method's parameters or result.
// read_message fails with invalid_argument and the path at fault.

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
