#include "gateway/order_sender.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration connect_timeout = milliseconds(250);

// A server need not name the order in its answer.
bool names_other_order(const http_response& answer,
                       std::string_view id_header,
                       const std::string& id)
{
    const auto named = answer.headers.find(id_header);
    return named && *named != id;
}

order_result make_failure(exchange_end end)
{
    order_result made;
    made.end = is_unsent(end) ? order_end::not_sent : order_end::no_answer;
    return made;
}

} // namespace

void order_sender::send(const key_order& order, callback done)
{
    const std::string_view id_header = codec_.names().request_id;
    const std::string id = "order-" + std::to_string(++last_number_);
    http_request request = codec_.make_order(order);
    request.headers.set(id_header, id);

    // On a new connection there are no answers to other orders.
    const bool needs_proof =
        order.kind == order_kind::release && !order.use_new_connection;
    auto is_own = [this, id, id_header, needs_proof](const http_response& answer)
    {
        return !names_other_order(answer, id_header, id) &&
               (!needs_proof || codec_.may_answer_release(answer));
    };
    exchange_options options;
    options.timeout = order.timeout;
    options.connect_timeout = connect_timeout;
    options.connection =
        order.use_new_connection ? connection_choice::fresh : connection_choice::pooled;
    options.is_own_answer = is_own;
    auto ended =
        [this, to = order.address, kind = order.kind, is_own, done = std::move(done)](
            const exchange_result& got)
    {
        const bool is_answered = got.end == exchange_end::answered && is_own(got.answer);
        const order_result result =
            is_answered ? codec_.read_order_answer(got.answer) : make_failure(got.end);
        if (kind == order_kind::release || result.end != order_end::accepted)
        {
            http_.drop_connections(to);
        }
        done(result);
    };
    http_.send(order.address, std::move(request), options, std::move(ended));
}

} // namespace camphorrock
