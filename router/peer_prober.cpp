#include "router/peer_prober.hpp"

namespace camphorrock
{
namespace
{

constexpr duration tick_period = milliseconds(50);
constexpr duration probe_timeout = milliseconds(200);

// Any answer proves that the other router is responsive, including the error of one that
// does not know the method.
bool is_responsive(rpc_end end)
{
    return end == rpc_end::answered || end == rpc_end::refused;
}

} // namespace

void peer_prober::sent(const endpoint& peer)
{
    detector_.sent(peer, context_.loop.now());
    if (!timer_ && detector_.has_unanswered_peers())
    {
        timer_ = context_.loop.every(tick_period, [this] { tick(); });
    }
}

void peer_prober::tick()
{
    for (const endpoint& it : detector_.due_probes(context_.loop.now()))
    {
        probe(it);
    }
    if (!detector_.has_unanswered_peers())
    {
        timer_.reset();
    }
}

// Uses a new connection, since a pooled one may be broken while the peer is responsive.
void peer_prober::probe(const endpoint& peer)
{
    context_.rpc.call(
        peer,
        "peer.ping",
        Json::Value(Json::objectValue),
        probe_timeout,
        [this, peer](const rpc_result& got) {
            is_responsive(got.end) ? detector_.note_answer(peer)
                                   : detector_.probe_failed(peer);
        },
        connection_choice::fresh);
}

} // namespace camphorrock
