#include "gateway/gateway_log.hpp"

#include "core/gateway/retry/suspect_list.hpp"

namespace camphorrock
{
namespace
{

const metric_name attempts_metric{"camphorrock_gateway_sendings_total",
                                  "Requests sent to servers, with repetitions."};
const metric_name failed_attempts_metric{
    "camphorrock_gateway_failed_sendings_total",
    "Sendings that brought no answer, by their end."};
const metric_name silences_metric{
    "camphorrock_gateway_silences_total",
    "Attempts without a response, by what other requests there show of the cause."};
const metric_name answers_metric{"camphorrock_gateway_answers_total",
                                 "Servers' answers passed on."};
const metric_name local_answers_metric{"camphorrock_gateway_own_answers_total",
                                       "Answers of the gateway itself, by reason."};
const metric_name stale_refusals_metric{
    "camphorrock_gateway_stale_refusals_total",
    "Requests refused without a queue, by an estimate untested for over a second."};
const metric_name overload_refusals_metric{
    "camphorrock_gateway_overload_refusals_total",
    "Requests refused as overload, by service, priority and what decided."};
const metric_name clients_gone_metric{"camphorrock_gateway_clients_gone_total",
                                      "Requests whose client left before the answer."};
const metric_name orders_metric{"camphorrock_gateway_orders_total",
                                "Orders to servers about their keys, by their end."};
const metric_name config_faults_metric{
    "camphorrock_gateway_config_faults_total",
    "Parts of configurations that could not be read, by kind."};
const metric_name drained_metric{"camphorrock_gateway_drained_data_centres",
                                 "Data centres that the operator has drained."};
const metric_name unreadable_drains_metric{
    "camphorrock_gateway_unreadable_drains_total",
    "Values of store keys that drain data centres which could not be read."};
const metric_name servers_leaving_metric{
    "camphorrock_gateway_servers_leaving_total",
    "Servers whose answers announced that they leave."};
const metric_name servers_paused_metric{"camphorrock_gateway_server_pauses_total",
                                        "Pauses that servers without room asked for."};
const metric_name load_reports_metric{
    "camphorrock_gateway_server_load_reports_total",
    "Answers in which servers reported their load, by whether it could be read."};
const metric_name load_distrusted_metric{
    "camphorrock_gateway_server_loads_distrusted_total",
    "Times that the load reports of a server lost their trust."};
const metric_name limited_sends_metric{
    "camphorrock_gateway_limited_sends_total",
    "What was sent to servers while they had a limit, by server and kind."};
const metric_name tokens_metric{
    "camphorrock_gateway_tokens_total",
    "Tokens that requests to servers with a limit were granted, or refused."};
const metric_name warm_ups_metric{
    "camphorrock_gateway_warm_ups_total",
    "Cold times of servers with a limit for cold servers, by who said so first."};
const metric_name cold_servers_metric{"camphorrock_gateway_cold_servers",
                                      "Servers that are cold and have a limit."};
const metric_name unreadable_warm_ups_metric{
    "camphorrock_gateway_unreadable_warm_ups_total",
    "Servers whose answers name a warm-up that cannot be read."};
const metric_name probes_metric{
    "camphorrock_gateway_server_probes_total",
    "Servers probed after an attempt was cut off, by whether they had ended."};
const metric_name suspects_metric{
    "camphorrock_gateway_suspects_total",
    "Fingerprints of requests under which servers ended, by what became of them."};
const metric_name trials_metric{
    "camphorrock_gateway_trials_total",
    "Attempts of suspects, by the answer of the gateway that permits them."};
const metric_name loop_late_metric{"camphorrock_gateway_loop_late_seconds",
                                   "By how much the event loop ran its timers late."};
const metric_name latency_metric{"camphorrock_gateway_answer_seconds",
                                 "From a request's arrival to its server's answer."};

} // namespace

void gateway_log::attempt_started(const request_fields& request,
                                  const server_choice& to,
                                  unsigned attempt,
                                  duration elapsed)
{
    metrics_.get_counter(attempts_metric, {{"service", request.service.str()}}).add();
    const event_id id =
        attempt > 1 ? event_id::request_sent_again : event_id::request_sent;
    events_.write(id,
                  {{"request", request.id},
                   {"route", request.route},
                   {"service", request.service},
                   {"server", to.server},
                   {"attempt", attempt},
                   {"elapsed_us", elapsed},
                   {"load", to.load},
                   {"expected_us", to.expected_latency}});
}

void gateway_log::attempt_failed(const request_fields& request,
                                 const server_choice& to,
                                 const exchange_result& got,
                                 const failed_attempt& attempt)
{
    const std::string_view end = name_of(attempt.how);
    const int status = got.end == exchange_end::answered ? got.answer.status : 0;
    metrics_
        .get_counter(failed_attempts_metric,
                     {{"service", request.service.str()}, {"end", std::string(end)}})
        .add();
    const std::string_view silence =
        attempt.silence ? name_of(*attempt.silence) : std::string_view();
    if (attempt.silence)
    {
        metrics_
            .get_counter(
                silences_metric,
                {{"service", request.service.str()}, {"class", std::string(silence)}})
            .add();
    }
    events_.write(event_id::attempt_failed,
                  {{"request", request.id},
                   {"route", request.route},
                   {"server", to.server},
                   {"end", end},
                   {"exchange", name_of(got.end)},
                   {"fault", name_of(got.fault)},
                   {"refused", got.is_connection_refused},
                   {"reused", got.is_connection_reused},
                   {"status", status},
                   {"not_run", attempt.says_not_run},
                   {"answer_id", attempt.answer_id},
                   {"earlier", attempt.earlier_at_address},
                   {"elapsed_us", attempt.elapsed},
                   {"again", attempt.is_sent_again},
                   {"silence", silence}});
}

void gateway_log::answer_forwarded(const request_fields& request,
                                   int status,
                                   duration elapsed)
{
    metrics_.get_counter(answers_metric, {{"service", request.service.str()}}).add();
    metrics_.get_histogram(latency_metric, {{"service", request.service.str()}})
        .record(elapsed);
    events_.write(event_id::request_answered,
                  {{"request", request.id}, {"status", status}, {"elapsed_us", elapsed}});
}

void gateway_log::answered_locally(const request_fields& request,
                                   local_answer_reason reason,
                                   const local_answer_inputs& inputs)
{
    metrics_.get_counter(local_answers_metric, {{"reason", std::string(name_of(reason))}})
        .add();
    const bool is_stale_refusal =
        reason == local_answer_reason::overloaded && is_stale(inputs.rejected);
    metrics_.get_counter(stale_refusals_metric).add(is_stale_refusal ? 1 : 0);
    if (reason == local_answer_reason::overloaded)
    {
        metrics_
            .get_counter(overload_refusals_metric,
                         {{"service", request.service.str()},
                          {"priority", std::to_string(inputs.priority)},
                          {"for", inputs.missing ? "more_urgent" : "own_target"}})
            .add();
    }
    const missing_room room = inputs.missing.value_or(missing_room{});
    events_.write(
        event_id::request_answered_here,
        {{"request", request.id},
         {"route", request.route},
         {"service", request.service},
         {"reason", name_of(reason)},
         {"not_run", is_not_run(reason)},
         {"sendings", inputs.attempts},
         {"server", inputs.last_server},
         {"elapsed_us", inputs.elapsed},
         {"left_us", inputs.time_left},
         {"expected_us", inputs.rejected.expected},
         {"limit_us", inputs.rejected.limit},
         {"load", inputs.rejected.load},
         {"priority", inputs.priority},
         {"room_priority",
          inputs.missing ? std::to_string(room.priority) : std::string()},
         {"room_requests", room.requests},
         {"room_target_us", room.target},
         {"room_expected_us", room.expected},
         {"estimate_age_us", inputs.rejected.evidence.age},
         {"estimate_answers", inputs.rejected.evidence.answers},
         {"wait_us", inputs.wait},
         {"config", inputs.config.value},
         {"keys_term", inputs.assignment.term},
         {"keys_change", inputs.assignment.change},
         {"key", inputs.key ? std::to_string(inputs.key->value) : std::string()},
         {"waited_for", name_of(inputs.waited_for)},
         {"fingerprint", inputs.fingerprint}});
}

void gateway_log::config_in_force(const gateway_config& config, std::uint64_t revision)
{
    events_.write(event_id::config_in_force,
                  {{"version", config.version.value},
                   {"routes", config.routes.size()},
                   {"revision", revision}});
    for (const config_fault& it : config.faults)
    {
        metrics_
            .get_counter(config_faults_metric, {{"part", std::string(name_of(it.part))}})
            .add();
        events_.write(event_id::config_part_unreadable,
                      {{"version", config.version.value},
                       {"part", name_of(it.part)},
                       {"text", it.text}});
    }
}

void gateway_log::drain_begun(const data_centre& zone,
                              const evacuation& begun,
                              bool is_dated,
                              time_point now)
{
    events_.write(event_id::drain_begun,
                  {{"zone", zone},
                   {"revision", begun.revision},
                   {"dated", is_dated},
                   {"stop_ms", whole_ms(begun.stop_at - now)}});
}

void gateway_log::drain_ended(const data_centre& zone,
                              const evacuation& ended,
                              time_point now)
{
    events_.write(event_id::drain_ended,
                  {{"zone", zone},
                   {"revision", ended.revision},
                   {"stop_ms", whole_ms(ended.stop_at - now)},
                   {"elapsed_ms", whole_ms(now - ended.begun_at)}});
}

void gateway_log::set_drained_count(std::size_t n)
{
    metrics_.get_gauge(drained_metric).set(static_cast<double>(n));
}

void gateway_log::drain_unreadable(const std::string& key,
                                   std::uint64_t revision,
                                   const std::string& text)
{
    metrics_.get_counter(unreadable_drains_metric).add();
    events_.write(event_id::drain_unreadable,
                  {{"key", key}, {"text", text}, {"revision", revision}});
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
                       {"status", got.status},
                       {"service", order.service},
                       {"server", order.server},
                       {"first", order.keys.first},
                       {"last", order.keys.last},
                       {"epoch", order.at}});
    }
}

void gateway_log::keys_waiting(const waiting_keys& waiting)
{
    events_.write(event_id::keys_waiting,
                  {{"service", waiting.service},
                   {"reason", name_of(waiting.reason)},
                   {"ranges", waiting.ranges},
                   {"keys", waiting.keys},
                   {"longest_us", waiting.longest_left},
                   {"server", waiting.longest.owner},
                   {"first", waiting.longest.keys.first},
                   {"last", waiting.longest.keys.last},
                   {"epoch", waiting.longest.grant_epoch}});
}

void gateway_log::server_leaving(const server_id& server, std::string_view source)
{
    metrics_.get_counter(servers_leaving_metric).add();
    events_.write(event_id::server_leaving, {{"server", server}, {"source", source}});
}

void gateway_log::server_paused(const server_id& server,
                                const std::string& asked,
                                duration span)
{
    metrics_.get_counter(servers_paused_metric).add();
    events_.write(event_id::server_paused,
                  {{"server", server}, {"asked", asked}, {"pause_us", span}});
}

void gateway_log::server_limit_changed(const server_id& server,
                                       limit_change change,
                                       double rate,
                                       std::string_view source)
{
    switch (change)
    {
    case limit_change::none:
        break;
    case limit_change::named:
    case limit_change::changed:
        events_.write(event_id::server_limited,
                      {{"server", server}, {"rate", rate}, {"source", source}});
        break;
    case limit_change::ended:
        events_.write(event_id::server_limit_ended,
                      {{"server", server}, {"source", source}});
        break;
    case limit_change::unreadable:
        events_.write(event_id::server_limit_unreadable,
                      {{"server", server}, {"source", source}});
        break;
    }
}

void gateway_log::warm_up_changed(const warm_up_transition& it)
{
    if (!it.is_cold)
    {
        events_.write(event_id::warm_up_ended,
                      {{"server", it.server}, {"source", name_of(it.source)}});
        return;
    }
    metrics_.get_counter(warm_ups_metric, {{"source", std::string(name_of(it.source))}})
        .add();
    events_.write(
        event_id::warm_up_begun,
        {{"server", it.server}, {"source", name_of(it.source)}, {"left_us", it.left}});
}

void gateway_log::cold_servers(std::size_t count)
{
    if (count != cold_servers_)
    {
        cold_servers_ = count;
        metrics_.get_gauge(cold_servers_metric).set(static_cast<double>(count));
    }
}

void gateway_log::warm_up_unreadable(const server_id& server, std::string_view source)
{
    metrics_.get_counter(unreadable_warm_ups_metric).add();
    events_.write(event_id::server_limit_unreadable,
                  {{"server", server}, {"source", source}, {"of", "warm_up"}});
}

void gateway_log::server_load_reported(bool is_readable)
{
    metrics_.get_counter(load_reports_metric, {{"readable", is_readable ? "yes" : "no"}})
        .add();
}

void gateway_log::server_load_unreadable(const server_id& server, std::string_view source)
{
    events_.write(event_id::server_load_unreadable,
                  {{"server", server}, {"source", source}});
}

void gateway_log::server_load_distrusted(const server_id& server, std::string_view source)
{
    metrics_.get_counter(load_distrusted_metric).add();
    events_.write(event_id::server_load_distrusted,
                  {{"server", server}, {"source", source}});
}

void gateway_log::sent_to_limited(const server_id& server, std::string_view kind)
{
    metrics_
        .get_counter(limited_sends_metric,
                     {{"server", server.str()}, {"kind", std::string(kind)}})
        .add();
}

void gateway_log::token_decided(const request_fields& request,
                                const server_id& server,
                                double rate,
                                const token_decision& decision)
{
    metrics_
        .get_counter(tokens_metric,
                     {{"server", server.str()},
                      {"granted", decision.is_granted ? "true" : "false"}})
        .add();
    events_.write(event_id::token_decided,
                  {{"request", request.id},
                   {"route", request.route},
                   {"server", server},
                   {"rate", rate},
                   {"granted", decision.is_granted},
                   {"wait_us", decision.wait}});
}

void gateway_log::server_probed(const std::string& request_id,
                                const request_fingerprint& fingerprint,
                                const server_id& server,
                                bool has_ended)
{
    metrics_.get_counter(probes_metric, {{"ended", has_ended ? "yes" : "no"}}).add();
    events_.write(event_id::server_probed,
                  {{"request", request_id},
                   {"fingerprint", text_of(fingerprint)},
                   {"server", server},
                   {"ended", has_ended}});
}

void gateway_log::suspect_changed(const suspect_row& row)
{
    const event_id id = row.crashes == 0                   ? event_id::suspect_cleared
                        : row.crashes < crashes_to_condemn ? event_id::request_suspected
                                                           : event_id::request_condemned;
    metrics_.get_counter(suspects_metric, {{"event", std::string(row_of(id).name)}})
        .add();
    events_.write(
        id,
        {{"fingerprint", fingerprint_text(row.fingerprint)}, {"crashes", row.crashes}});
}

void gateway_log::trial_answered(const request_fields& request,
                                 const server_id& server,
                                 trial_answer answer)
{
    const std::string_view name = trial_answer_names.name(answer);
    metrics_.get_counter(trials_metric, {{"answer", std::string(name)}}).add();
    events_.write(event_id::trial_answered,
                  {{"request", request.id}, {"server", server}, {"answer", name}});
}

void gateway_log::loop_late(duration lateness)
{
    metrics_.get_histogram(loop_late_metric).record(lateness);
    events_.write(event_id::loop_late, {{"late_us", lateness}});
}

void gateway_log::client_disconnected(const request_fields& request,
                                      duration elapsed,
                                      bool is_noticed_late)
{
    metrics_
        .get_counter(clients_gone_metric,
                     {{"noticed_late", is_noticed_late ? "true" : "false"}})
        .add();
    events_.write(event_id::client_gone,
                  {{"request", request.id},
                   {"route", request.route},
                   {"elapsed_us", elapsed},
                   {"noticed_late", is_noticed_late}});
}

} // namespace camphorrock
