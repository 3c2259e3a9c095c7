// The part of key_agent by which gateways tell the assigner how earlier terms have ended.

#include "gateway/key_agent.hpp"

namespace camphorrock
{
namespace
{

constexpr duration statement_timeout = milliseconds(500);
constexpr duration predecessor_timeout = milliseconds(300); // for its answer
constexpr duration predecessor_pause = milliseconds(100);   // between two questions
// A predecessor's authority has ended after some of them.
constexpr unsigned max_predecessor_questions = 10;

} // namespace

// Repeated with each report until the assigner has answered. Until then it moves no keys
// that this gateway may have granted. A build without the method refuses the call.
void key_agent::send_term_end()
{
    const std::optional<endpoint> to = role_.holder();
    const std::optional<assigner_term_end> said = role_.last_term_end();
    const std::optional<assigner_restart> restart = role_.restart();
    const bool is_due = to && (said || restart) &&
                        *to != context_.state.settings().peer &&
                        term_end_known_to_ != to && !is_term_end_in_flight_;
    if (!is_due)
    {
        return;
    }
    is_term_end_in_flight_ = true;
    rpc_.call(*to,
              said ? "keys.ended" : "keys.restarted",
              said ? write_term_end(*said) : write_assigner_restart(*restart),
              statement_timeout,
              [this, to, alive = std::weak_ptr<const bool>(alive_)](const rpc_result& got)
              {
                  if (!alive.expired())
                  {
                      on_term_end_reply(*to, got);
                  }
              });
}

void key_agent::on_term_end_reply(const endpoint& to, const rpc_result& got)
{
    is_term_end_in_flight_ = false;
    const keys_ended_reply reply =
        got.end != rpc_end::answered
            ? keys_ended_reply()
            : value_or_handle([&] { return read_keys_ended_reply(got.value); },
                              [](const error&) { return keys_ended_reply(); });
    const bool is_known = reply.is_assigner || got.end == rpc_end::refused;
    if (is_known && role_.holder() == to)
    {
        term_end_known_to_ = to;
    }
}

result<Json::Value> key_agent::handle_term_end(const Json::Value& params)
{
    BOOST_LEAF_AUTO(got, read_term_end(params));
    role_.on_term_end(got);
    return write_keys_ended_reply({role_.is_assigner()});
}

result<Json::Value> key_agent::handle_restart(const Json::Value& params)
{
    BOOST_LEAF_AUTO(got, read_assigner_restart(params));
    role_.on_restart(got);
    return write_keys_ended_reply({role_.is_assigner()});
}

result<Json::Value> key_agent::handle_end_term(const Json::Value& params)
{
    BOOST_LEAF_AUTO(got, read_keys_end_term(params));
    keys_end_reply reply;
    if (const std::optional<assigner_term_end> said = role_.end_term(got.assigner))
    {
        reply.said.push_back(*said);
    }
    return write_keys_end_reply(reply);
}

// A predecessor that is cut off from the store does not hear that its term has ended.
void key_agent::ask_predecessor()
{
    const std::optional<endpoint> to = role_.last_holder();
    if (!to || ++predecessor_questions_ > max_predecessor_questions)
    {
        return;
    }
    rpc_.call(*to,
              "keys.end_term",
              write_keys_end_term({context_.state.settings().peer}),
              predecessor_timeout,
              [this, alive = std::weak_ptr<const bool>(alive_)](const rpc_result& got)
              {
                  if (!alive.expired())
                  {
                      on_end_reply(got);
                  }
              });
}

void key_agent::on_end_reply(const rpc_result& got)
{
    const keys_end_reply reply =
        got.end != rpc_end::answered
            ? keys_end_reply()
            : value_or_handle([&] { return read_keys_end_reply(got.value); },
                              [](const error&) { return keys_end_reply(); });
    for (const assigner_term_end& it : reply.said)
    {
        role_.on_term_end(it);
    }
    const bool is_known = !reply.said.empty() && role_.is_assigner();
    if (!is_known && got.end != rpc_end::refused)
    {
        predecessor_timer_ =
            context_.loop.after(predecessor_pause, [this] { ask_predecessor(); });
    }
}

} // namespace camphorrock
