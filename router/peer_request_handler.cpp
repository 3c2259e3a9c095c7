#include "router/peer_request_handler.hpp"

#include "codec/messages_json.hpp"
#include "core/membership/voter.hpp"
#include "net/http_status.hpp"
#include "router/forwarder.hpp"
#include "router/shard_agent.hpp"
#include "store/config_agent.hpp"

namespace camphorrock
{
namespace
{

http_response make_rpc_answer(std::string body)
{
    http_response answer;
    answer.headers.add("Content-Type", "application/json");
    answer.body = std::move(body);
    return answer;
}

} // namespace

peer_request_handler::peer_request_handler(router_context& context,
                                           config_agent& config,
                                           voter& votes,
                                           shard_finder find_shard,
                                           forward_handler on_forward)
    : context_(context), config_(config), voter_(votes),
      find_shard_(std::move(find_shard)), on_forward_(std::move(on_forward))
{
    rpc_.add("shard.vouch",
             [this](const Json::Value& params) { return vote_on_lease(params); });
    rpc_.add("shard.fence", [this](const Json::Value& params) { return fence(params); });
    rpc_.add("shard.update",
             [this](const Json::Value& params) { return update(params); });
    rpc_.add("config.get", [this](const Json::Value&) { return get_config(); });
    rpc_.add("peer.ping",
             [](const Json::Value&) -> result<Json::Value>
             { return Json::Value(Json::objectValue); });
}

void peer_request_handler::handle(http_request request,
                                  std::shared_ptr<http_responder> responder)
{
    if (request.method == "POST" && request.target == "/rpc")
    {
        responder->respond(make_rpc_answer(rpc_.dispatch(request.body)));
        return;
    }
    bool is_forwarded = request.target.rfind(forward_prefix, 0) == 0;
    if (is_forwarded)
    {
        request.target.erase(0, forward_prefix.size());
        on_forward_(std::move(request), responder);
        return;
    }
    http_response answer;
    answer.status = http_status::not_found;
    responder->respond(std::move(answer));
}

result<Json::Value> peer_request_handler::vote_on_lease(const Json::Value& params)
{
    BOOST_LEAF_AUTO(call_params, read_message<lease_vote_params>(params));
    voter_reply reply =
        voter_.vote_on_lease(call_params.shard, call_params.version, context_.loop.now());
    return write_message(
        lease_vote_answer{reply.is_ok, reply.highest, config_.current().version});
}

result<Json::Value> peer_request_handler::fence(const Json::Value& params)
{
    BOOST_LEAF_AUTO(call_params, read_message<fence_params>(params));
    voter_reply reply =
        voter_.fence(call_params.shard, call_params.version, context_.loop.now());
    return write_message(fence_answer{reply.is_ok, reply.highest, reply.fenced_for});
}

result<Json::Value> peer_request_handler::update(const Json::Value& params)
{
    BOOST_LEAF_AUTO(call_params, read_message<update_params>(params));
    config_.on_peer_version(call_params.config, call_params.assigner_peer);
    shard_agent* agent = find_shard_(call_params.record.shard);
    if (agent == nullptr)
    {
        return fail(error_code::not_found,
                    "no such shard here yet: " + call_params.record.shard.str());
    }
    agent->record_received(call_params.record, call_params.assigner_peer);
    return write_message(update_answer{agent->authority().record()->version});
}

result<Json::Value> peer_request_handler::get_config() const
{
    return Json::Value(configuration_text(config_.current()));
}

} // namespace camphorrock
