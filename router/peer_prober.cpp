#include "router/peer_prober.hpp"

namespace camphorrock
{
namespace
{

constexpr duration tick_period = milliseconds(50);
constexpr duration answer_limit = milliseconds(200);

// Any answer shows that the other router is there, also that of one which does not know
// the message.
bool is_there(rpc_end end)
{
    return end == rpc_end::answered || end == rpc_end::refused;
}

} // namespace

void peer_prober::sent(const endpoint& peer)
{
    watch_.sent(peer, parts_.loop.now());
    if (!timer_ && watch_.has_unanswered_peers())
    {
        timer_ = parts_.loop.every(tick_period, [this] { tick(); });
    }
}

void peer_prober::tick()
{
    for (const endpoint& it : watch_.due_probes(parts_.loop.now()))
    {
        ask(it);
    }
    if (!watch_.has_unanswered_peers())
    {
        timer_.reset();
    }
}

// On a new connection, since a kept one may have gone silent by itself.
void peer_prober::ask(const endpoint& peer)
{
    parts_.rpc.call(
        peer,
        "peer.ping",
        Json::Value(Json::objectValue),
        answer_limit,
        [this, peer](const rpc_result& got)
        { is_there(got.end) ? watch_.note_answer(peer) : watch_.probe_failed(peer); },
        connection_choice::fresh);
}

} // namespace camphorrock
