// The part of request_relay for attempts under which their server may have crashed.

#include "gateway/request_relay.hpp"

namespace camphorrock
{

request_fingerprint request_relay::fingerprint() const
{
    request_parts parts;
    parts.method = request_.method;
    parts.host = request_.headers.find("Host").value_or("");
    parts.target = request_.target;
    parts.key = request_.headers.find(context_.codec.names().shard_key).value_or("");
    parts.body = request_.body;
    return fingerprint_of(parts);
}

// Logs whether the server of the last attempt has ended.
void request_relay::probe_server()
{
    if (context_.probe == nullptr)
    {
        return;
    }
    context_.probe->check(sent_to_.address,
                          [&log = context_.log,
                           id = request_id_,
                           fingerprint = fingerprint(),
                           server = sent_to_.server](bool has_ended)
                          { log.server_probed(id, fingerprint, server, has_ended); });
}

} // namespace camphorrock
