// What assigner_role learns of servers from the ends of orders, and what the assigner
// must know of them.

#include "gateway/assigner_role.hpp"
#include "gateway/warm_up_report.hpp"

#include <algorithm>

namespace camphorrock
{

// A release may stay without an answer for long, since the server ends its work first.
void assigner_role::note_link(const key_order& order, const order_result& got)
{
    const bool is_unreached =
        got.end == order_end::not_sent ||
        (got.end == order_end::no_answer && order.kind == order_kind::grant);
    const attempt_evidence evidence = got.status != 0 ? attempt_evidence::reached
                                      : is_unreached  ? attempt_evidence::unreached
                                                      : attempt_evidence::none;
    if (context_.links != nullptr)
    {
        context_.links->order_ended(evidence, order.server);
    }
}

// A server that leaves must hand its keys over, also if its entry does not say so yet.
void assigner_role::note_leaving(const key_order& order, const order_result& got)
{
    const known_server* server = context_.state.servers().find(order.server);
    const bool is_news =
        got.is_leaving && got.end != order_end::other_server && server != nullptr &&
        context_.state.announce_leaving(
            order.server, server->entry.incarnation, context_.loop.now());
    if (is_news)
    {
        context_.log.server_leaving(order.server, name_of(order.kind));
    }
}

// The answer to an order may leave a limit out that the server still has, so that ends
// none.
void assigner_role::note_limit(const key_order& order, const order_result& got)
{
    const known_server* server = context_.state.servers().find(order.server);
    const bool says_limit = got.limit.is_present && got.end != order_end::other_server;
    if (!says_limit || server == nullptr)
    {
        return;
    }
    const limit_change change = context_.state.observe_limit(
        order.server, server->entry.incarnation, got.limit, context_.loop.now());
    if (change == limit_change::none)
    {
        return;
    }
    context_.log.server_limit_changed(
        order.server, change, got.limit.rate.value_or(0), name_of(order.kind));
    if (context_.limits != nullptr)
    {
        context_.limits->on_limits_changed();
    }
}

void assigner_role::note_warm_up(const key_order& order, const order_result& got)
{
    const known_server* server = context_.state.servers().find(order.server);
    if (server == nullptr || got.end == order_end::other_server)
    {
        return;
    }
    const bool is_changed = camphorrock::note_warm_up(context_.state,
                                                      context_.log,
                                                      order.server,
                                                      server->entry.incarnation,
                                                      got.warm_up,
                                                      name_of(order.kind),
                                                      context_.loop.now());
    if (is_changed && context_.limits != nullptr)
    {
        context_.limits->on_limits_changed();
    }
}

// Only of limits that servers name: orders are not held back for a cold server.
std::optional<double> assigner_role::limit_of(const listed_server& server) const
{
    return context_.state.limits().rate_of(
        server.id, server.incarnation, context_.loop.now());
}

double assigner_role::capacity_of(const service_name& service,
                                  const listed_server& server) const
{
    return context_.state.capacity_of(service, server, context_.loop.now());
}

// Orders do not wait for tokens: a key must not lose its owner. They leave the fewer
// tokens to requests.
void assigner_role::account_for_limit(const key_order& order)
{
    const known_server* server = context_.state.servers().find(order.server);
    const std::optional<double> limit =
        server == nullptr ? std::nullopt : limit_of(server->entry);
    if (!limit)
    {
        return;
    }
    context_.log.sent_to_limited(order.server, name_of(order.kind));
    if (context_.limits != nullptr)
    {
        context_.limits->spend(order.server, *limit);
    }
}

} // namespace camphorrock
