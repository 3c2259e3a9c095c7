#include "gateway/order_sender.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration connect_timeout = milliseconds(250);

} // namespace

void order_sender::send(const key_order& order, callback done)
{
    exchange_options options;
    options.timeout = order.timeout;
    options.connect_timeout = connect_timeout;
    options.connection =
        order.use_new_connection ? connection_choice::fresh : connection_choice::pooled;
    http_.send(
        order.address,
        codec_.make_order(order),
        options,
        [this, to = order.address, done = std::move(done)](const exchange_result& got)
        {
            if (got.end == exchange_end::answered)
            {
                done(codec_.read_order_answer(got.answer));
                return;
            }
            http_.drop_connections(to);
            order_result failed;
            failed.end = is_unsent(got.end) ? order_end::not_sent : order_end::no_answer;
            done(failed);
        });
}

} // namespace camphorrock
