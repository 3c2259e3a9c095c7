#include "gateway/gateway_log.hpp"

namespace camphorrock
{
namespace
{

const metric_name sendings_metric{"camphorrock_gateway_sendings_total",
                                  "Requests sent to servers, with repetitions."};
const metric_name failures_metric{"camphorrock_gateway_failed_sendings_total",
                                  "Sendings that brought no answer, by their end."};
const metric_name answers_metric{"camphorrock_gateway_answers_total",
                                 "Servers' answers passed on."};
const metric_name own_metric{"camphorrock_gateway_own_answers_total",
                             "Answers of the gateway itself, by reason."};
const metric_name gone_metric{"camphorrock_gateway_clients_gone_total",
                              "Requests whose client left before the answer."};
const metric_name orders_metric{"camphorrock_gateway_orders_total",
                                "Orders to servers about their keys, by their end."};
const metric_name latency_metric{"camphorrock_gateway_answer_seconds",
                                 "From a request's arrival to its server's answer."};

} // namespace

void gateway_log::sent(const request_line& what,
                       const server_choice& to,
                       unsigned attempt)
{
    metrics_.get_counter(sendings_metric, {{"service", what.service.str()}}).add();
    const event_id id =
        attempt > 1 ? event_id::request_sent_again : event_id::request_sent;
    events_.write(id,
                  {{"request", what.id},
                   {"route", what.route},
                   {"service", what.service},
                   {"server", to.server},
                   {"attempt", attempt},
                   {"load", to.load},
                   {"expected_us", to.expected}});
}

void gateway_log::attempt_failed(const request_line& what,
                                 const server_choice& to,
                                 attempt_end how,
                                 duration elapsed,
                                 bool is_sent_again)
{
    metrics_
        .get_counter(
            failures_metric,
            {{"service", what.service.str()}, {"end", std::string(name_of(how))}})
        .add();
    events_.write(event_id::attempt_failed,
                  {{"request", what.id},
                   {"route", what.route},
                   {"server", to.server},
                   {"end", name_of(how)},
                   {"elapsed_us", elapsed},
                   {"again", is_sent_again}});
}

void gateway_log::answered(const request_line& what, int status, duration elapsed)
{
    metrics_.get_counter(answers_metric, {{"service", what.service.str()}}).add();
    metrics_.get_histogram(latency_metric, {{"service", what.service.str()}})
        .record(elapsed);
    events_.write(event_id::request_answered,
                  {{"request", what.id}, {"status", status}, {"elapsed_us", elapsed}});
}

void gateway_log::answered_self(const request_line& what,
                                own_reason why,
                                const own_answer_inputs& by)
{
    metrics_.get_counter(own_metric, {{"reason", std::string(name_of(why))}}).add();
    events_.write(event_id::request_answered_here,
                  {{"request", what.id},
                   {"route", what.route},
                   {"service", what.service},
                   {"reason", name_of(why)},
                   {"not_run", is_not_run(why)},
                   {"sendings", by.sendings},
                   {"server", by.last_server},
                   {"elapsed_us", by.elapsed},
                   {"left_us", by.left},
                   {"expected_us", by.expected},
                   {"config", by.config.value},
                   {"keys_term", by.keys.term},
                   {"keys_change", by.keys.change},
                   {"key", by.key ? std::to_string(by.key->value) : std::string()}});
}

void gateway_log::order_ended(const key_order& order, const order_result& got)
{
    metrics_
        .get_counter(orders_metric,
                     {{"kind", std::string(name_of(order.kind))},
                      {"end", std::string(name_of(got.end))}})
        .add();
    if (got.end != order_end::accepted || order.kind == order_kind::release)
    {
        events_.write(event_id::order_ended,
                      {{"kind", name_of(order.kind)},
                       {"end", name_of(got.end)},
                       {"service", order.service},
                       {"server", order.server},
                       {"first", order.keys.first},
                       {"last", order.keys.last},
                       {"epoch", order.at}});
    }
}

void gateway_log::client_gone(const request_line& what, duration elapsed)
{
    metrics_.get_counter(gone_metric).add();
    events_.write(event_id::client_gone,
                  {{"request", what.id}, {"route", what.route}, {"elapsed_us", elapsed}});
}

} // namespace camphorrock
