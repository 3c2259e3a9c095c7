#pragma once

// Records a gateway's decisions: one method for each event, which writes the log line and
// updates the metrics.

#include "app/event_log.hpp"
#include "app/metrics_registry.hpp"
#include "core/config/config_version.hpp"
#include "core/gateway/admission/priority_admission.hpp"
#include "core/gateway/config/gateway_config.hpp"
#include "core/gateway/limits/server_limits.hpp"
#include "core/gateway/limits/token_counter.hpp"
#include "core/gateway/limits/warm_up_rate.hpp"
#include "core/gateway/links/link_monitor.hpp"
#include "core/gateway/owners/key_orders.hpp"
#include "core/gateway/owners/key_wait.hpp"
#include "core/gateway/relay/request_progress.hpp"
#include "core/gateway/retry/crash_messages.hpp"
#include "core/gateway/servers/evacuations.hpp"
#include "core/gateway/servers/latency_limit.hpp"
#include "core/gateway/servers/server_pool.hpp"
#include "gateway/forward_protocol.hpp"
#include "gateway/local_answer.hpp"
#include "net/http_client.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

// The fields that identify a request in its events.
struct request_fields
{
    const std::string& id;
    const std::string& route;
    const service_name& service;
};

// The inputs by which the gateway decided to answer a request itself.
struct local_answer_inputs
{
    unsigned attempts = 0;               // sent to servers so far
    server_id last_server;               // of the last attempt; empty without one
    duration elapsed{};                  // since the request arrived
    duration time_left{};                // until its deadline; negative after it
    rejected_latency rejected;           // by which the request was refused, if it was
    unsigned priority = 0;               // of its route
    std::optional<missing_room> missing; // for a more urgent priority, if that decided
    duration
        wait{}; // until a server that may run it takes requests again; zero if one does
    config_version config;         // in force
    assignment_version assignment; // in force
    std::optional<shard_key> key;  // none for a service without keys
    // What the request last waited for; `choosing` if it never waited.
    request_phase waited_for = request_phase::choosing;
    // Of a request that is known to crash servers, or suspected of it; else empty.
    std::string fingerprint;
};

// An attempt that brought no answer to forward.
struct failed_attempt
{
    attempt_end how = attempt_end::lost; // not `answered`
    // The request's id in the answer; empty without one.
    std::string_view answer_id;
    bool says_not_run = false;          // the answer says that its request was not run
    std::size_t earlier_at_address = 0; // attempts of the request, before this one
    duration elapsed{};                 // since the attempt began
    bool is_sent_again = false;         // the gateway tries to send the request again
    std::optional<silence_class> silence{}; // why no response came; empty if one came
};

// Why a request goes by another gateway.
enum class forward_reason
{
    links_lost,         // no server can be reached from here
    server_unreachable, // the servers that may run it cannot
};

class gateway_log
{
public:
    // Both must outlive the log.
    gateway_log(event_log& events, metrics_registry& metrics)
        : events_(events), metrics_(metrics)
    {
    }

    event_log& events()
    {
        return events_;
    }

    // A request is to be sent to a server; `attempt` counts from 1, `elapsed` from when
    // the request was read.
    void attempt_started(const request_fields& request,
                         const server_choice& to,
                         unsigned attempt,
                         duration elapsed);
    // `got` is what the attempt's exchange brought.
    void attempt_failed(const request_fields& request,
                        const server_choice& to,
                        const exchange_result& got,
                        const failed_attempt& attempt);
    // A server's answer was forwarded to the client.
    void answer_forwarded(const request_fields& request, int status, duration elapsed);
    // The gateway answered by itself.
    void answered_locally(const request_fields& request,
                          local_answer_reason reason,
                          const local_answer_inputs& inputs);
    // A configuration came into force. `revision` is that of its store entry.
    void config_in_force(const gateway_config& config, std::uint64_t revision);
    // The operator has drained the data centre, or ends that. `is_dated` as for
    // gateway_state::begin_evacuation().
    void drain_begun(const data_centre& zone,
                     const evacuation& begun,
                     bool is_dated,
                     time_point now);
    void drain_ended(const data_centre& zone, const evacuation& ended, time_point now);
    void set_drained_count(std::size_t n);
    // The value of that store key is ignored.
    void drain_unreadable(const std::string& key,
                          std::uint64_t revision,
                          const std::string& text);
    // Counts every order; logs releases, and grants that were not accepted.
    void order_ended(const key_order& order, const order_result& got);
    void keys_waiting(const waiting_keys& waiting);
    // An answer of the server announced that it leaves. `source` names what was answered:
    // a request's id, or the kind of an order.
    void server_leaving(const server_id& server, std::string_view source);
    // The server asked for a pause of `asked`, as its header says; `span` is what it
    // gets.
    void server_paused(const server_id& server, const std::string& asked, duration span);
    // An answer of the server changed what is known of its limit, as `change` says.
    // `source` as for server_leaving().
    void server_limit_changed(const server_id& server,
                              limit_change change,
                              double rate,
                              std::string_view source);
    // A server with a limit for cold servers has turned cold or warm.
    void warm_up_changed(const warm_up_transition& it);
    // The number of servers that are cold now.
    void cold_servers(std::size_t count);
    // An answer of the server says something of its warm-up that cannot be read. `source`
    // as for server_leaving().
    void warm_up_unreadable(const server_id& server, std::string_view source);
    // An answer of a server reported its load. Counts only.
    void server_load_reported(bool is_readable);
    // The first report of its load by an incarnation of the server that could not be
    // read.
    void server_load_unreadable(const server_id& server, std::string_view source);
    // The server's reports of its load are used no more, as they made expectations worse.
    void server_load_distrusted(const server_id& server, std::string_view source);
    // A request or an order was sent to a server while it had a limit. `kind` names
    // which.
    void sent_to_limited(const server_id& server, std::string_view kind);
    // A request got a token for the server, whose limit is `rate`, or none in time.
    void token_decided(const request_fields& request,
                       const server_id& server,
                       double rate,
                       const token_decision& decision);
    // After an attempt there was cut off, the server was probed.
    void server_probed(const std::string& request_id,
                       const request_fingerprint& fingerprint,
                       const server_id& server,
                       bool has_ended);
    // What is known of a fingerprint has changed: a suspect, condemned or cleared.
    void suspect_changed(const suspect_row& row);
    // A suspect asked whether it may be sent to the server.
    void trial_answered(const request_fields& request,
                        const server_id& server,
                        trial_answer answer);
    // Servers seemed out of reach, and a round of probes has ended after `elapsed`.
    void links_probed(link_suspicion why, const probe_round& round, duration elapsed);
    // No server can be reached from here.
    void links_lost(link_suspicion why, const probe_round& round);
    // Servers can be reached again, `elapsed` after the links were lost.
    void links_back(duration elapsed);
    // A request is to be sent by another gateway; `elapsed` since it was read.
    void request_forwarded(const request_fields& request,
                           const endpoint& to,
                           forward_reason why,
                           duration elapsed);
    // What became of it there, `elapsed` after it was sent.
    void forward_ended(const request_fields& request,
                       const endpoint& to,
                       forward_end how,
                       exchange_end end,
                       duration elapsed);
    // A request of another gateway was taken on, or not.
    void forward_taken(const request_fields& request, unsigned max_attempts);
    void forward_declined(forward_end reason);
    // The event loop ran a timer later than planned, by `lateness`.
    void loop_late(duration lateness);
    // The client disconnected before it received an answer. `is_noticed_late`: a check
    // before an attempt found it before the loop handled the close.
    void client_disconnected(const request_fields& request,
                             duration elapsed,
                             bool is_noticed_late);

private:
    event_log& events_;
    metrics_registry& metrics_;
    std::size_t cold_servers_ = 0; // as last published
};

} // namespace camphorrock
