#include "gateway/order_sender.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration connect_timeout = milliseconds(250);

// A server need not name the order in its answer.
bool is_answer_to(const http_response& answer,
                  std::string_view id_header,
                  const std::string& id)
{
    const auto named = answer.headers.find(id_header);
    return !named || *named == id;
}

} // namespace

void order_sender::send(const key_order& order, callback done)
{
    const std::string_view id_header = codec_.names().request_id;
    const std::string id = "order-" + std::to_string(++last_number_);
    http_request request = codec_.make_order(order);
    request.headers.set(id_header, id);

    const bool is_release = order.kind == order_kind::release;
    const bool is_alone = order.use_new_connection || is_release;
    exchange_options options;
    options.timeout = order.timeout;
    options.connect_timeout = connect_timeout;
    options.connection = is_alone ? connection_choice::fresh : connection_choice::pooled;
    options.is_own_answer = [id, id_header](const http_response& answer)
    {
        return is_answer_to(answer, id_header, id);
    };
    auto ended =
        [this, to = order.address, id, id_header, is_release, done = std::move(done)](
            const exchange_result& got)
    {
        const order_result result = read_result(got, id_header, id);
        if (is_release || result.end != order_end::accepted)
        {
            http_.drop_connections(to);
        }
        done(result);
    };
    http_.send(order.address, std::move(request), options, std::move(ended));
}

order_result order_sender::read_result(const exchange_result& got,
                                       std::string_view id_header,
                                       const std::string& id) const
{
    const bool is_answered =
        got.end == exchange_end::answered && is_answer_to(got.answer, id_header, id);
    if (is_answered)
    {
        return codec_.read_order_answer(got.answer);
    }
    order_result failed;
    failed.end = is_unsent(got.end) ? order_end::not_sent : order_end::no_answer;
    return failed;
}

} // namespace camphorrock
