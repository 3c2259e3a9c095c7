#include "app/events.hpp"

#include <algorithm>
#include <array>

namespace camphorrock
{
namespace
{

constexpr std::array rows{
    event_row{event_id::program_started,
              "program_started",
              severity::info,
              "The program has read its settings."},
    event_row{event_id::program_ready,
              "program_ready",
              severity::info,
              "The program listens and takes work."},
    event_row{event_id::program_stopping,
              "program_stopping",
              severity::info,
              "A signal asked the program to stop; it finishes what is in flight."},
    event_row{event_id::program_stopped,
              "program_stopped",
              severity::info,
              "The program has nothing left in flight and exits."},
    event_row{event_id::listen_failed,
              "listen_failed",
              severity::error,
              "An address could not be bound."},
    event_row{event_id::config_in_force,
              "config_in_force",
              severity::info,
              "A new version of the configuration is in force here."},
    event_row{
        event_id::config_unreadable,
        "config_unreadable",
        severity::error,
        "The configuration in the store could not be read; the previous one stays in "
        "force."},
    event_row{event_id::program_failed,
              "program_failed",
              severity::error,
              "The program ends with exit status 1 because of a fault; see its text."},
    event_row{event_id::config_part_unreadable,
              "config_part_unreadable",
              severity::warning,
              "A route, a service or a limit of the configuration could not be read; the "
              "others are in force."},
    event_row{event_id::loop_late,
              "loop_late",
              severity::warning,
              "The event loop ran its timers late; what arrived meanwhile is read only "
              "now."},
    event_row{event_id::record_adopted,
              "record_adopted",
              severity::info,
              "The router acts on a new version of a shard record."},
    event_row{event_id::record_unreadable,
              "record_unreadable",
              severity::error,
              "A shard record in the store could not be read."},
    event_row{event_id::lane_failed,
              "lane_failed",
              severity::error,
              "The queue of a server could not be created."},
    event_row{event_id::authority_gained,
              "authority_gained",
              severity::info,
              "A majority of voters grants its lease votes for the router's shard "
              "again."},
    event_row{event_id::authority_lost,
              "authority_lost",
              severity::warning,
              "No majority of lease votes arrived in time; the router grants and sends "
              "nothing for the shard."},
    event_row{event_id::request_refused,
              "request_refused",
              severity::debug,
              "A request was refused."},
    event_row{
        event_id::journal_unreadable,
        "journal_unreadable",
        severity::error,
        "A batch of the journal in the store could not be read; its ids stay in doubt."},
    event_row{event_id::journal_released,
              "journal_released",
              severity::info,
              "The journal records that all ids of a moving key range have ended."},
    event_row{event_id::request_sent,
              "request_sent",
              severity::debug,
              "The gateway sends a request to a server; gives that server's load and "
              "expected answer time."},
    event_row{event_id::request_answered,
              "request_answered",
              severity::debug,
              "A server's answer was forwarded to the client."},
    event_row{event_id::request_sent_again,
              "request_sent_again",
              severity::info,
              "The gateway sends another attempt of a request to a further server."},
    event_row{event_id::attempt_failed,
              "attempt_failed",
              severity::info,
              "An attempt returned no answer to forward to the client. Gives how the "
              "exchange ended, why the bytes of an invalid answer were refused "
              "(`fault`), the status that came (0: none) and whether it says \"not "
              "run\", whether the connection had been used before, how many earlier "
              "attempts of the request went to the same address, whether the request is "
              "sent again, and, if no response came in time, what other requests there "
              "show of the cause: full, slow, gone, lost (this connection alone) or "
              "unknown."},
    event_row{
        event_id::request_answered_here,
        "request_answered_here",
        severity::info,
        "The gateway answered a request itself, with the reason. Gives the load and "
        "the expected time by which it was refused, if it was, and the more urgent "
        "priority, if any, for which room was missing. `waited_for`: the phase of the "
        "request before its last choice of a server."},
    event_row{event_id::client_gone,
              "client_gone",
              severity::info,
              "A client disconnected before its request was answered."},
    event_row{event_id::server_seen,
              "server_seen",
              severity::info,
              "A server appeared in the directory, or its state or incarnation there "
              "changed."},
    event_row{event_id::server_gone,
              "server_gone",
              severity::info,
              "The entry of a server was removed from the directory."},
    event_row{event_id::server_unreadable,
              "server_unreadable",
              severity::warning,
              "The directory entry of a server could not be read; no server is taken "
              "from it."},
    event_row{event_id::assignment_in_force,
              "assignment_in_force",
              severity::info,
              "The gateway uses a new assignment of keys."},
    event_row{event_id::store_lost,
              "store_lost",
              severity::warning,
              "Calls to the store fail."},
    event_row{event_id::store_regained,
              "store_regained",
              severity::info,
              "The store answers again."},
    event_row{event_id::lines_left_out,
              "lines_left_out",
              severity::warning,
              "Log lines were dropped: the limit on the volume was reached, or the "
              "output did not accept them."},
    event_row{event_id::settings_reloaded,
              "settings_reloaded",
              severity::info,
              "The gateway reloaded its settings."},
    event_row{event_id::server_leaving,
              "server_leaving",
              severity::info,
              "An answer of a server announced that it leaves; it gets no new requests "
              "from here."},
    event_row{
        event_id::server_paused,
        "server_paused",
        severity::info,
        "A server that had no room asked for a pause; it gets no requests from here "
        "until its end."},
    event_row{event_id::store_restored,
              "store_restored",
              severity::warning,
              "The store has come back from a copy: what it acknowledged lately may be "
              "gone."},
    event_row{
        event_id::server_limited,
        "server_limited",
        severity::info,
        "A server named a limit of the requests that it takes from all gateways, or "
        "changed it."},
    event_row{event_id::server_limit_ended,
              "server_limit_ended",
              severity::info,
              "The answers of a server name no limit any more."},
    event_row{event_id::server_limit_unreadable,
              "server_limit_unreadable",
              severity::warning,
              "An answer of a server named a limit or a warm-up that could not be read; "
              "it changes nothing."},
    event_row{
        event_id::token_decided,
        "token_decided",
        severity::debug,
        "The gateway that counts for a server with a limit granted a request a token, "
        "or refused it; gives the wait."},
    event_row{event_id::server_probed,
              "server_probed",
              severity::info,
              "After an attempt was cut off, a connection to its server was tried; gives "
              "whether the server has ended, and the request's fingerprint."},
    event_row{event_id::request_suspected,
              "request_suspected",
              severity::info,
              "A server ended under a request: until some server answers it, it is "
              "sent to one server at a time in the whole fleet."},
    event_row{event_id::request_condemned,
              "request_condemned",
              severity::warning,
              "Servers ended again and again under a request: it is answered 502 and "
              "sent to no server."},
    event_row{event_id::suspect_cleared,
              "suspect_cleared",
              severity::info,
              "A condemned request may be sent again: a server has answered it, or an "
              "operator said so."},
    event_row{event_id::trial_answered,
              "trial_answered",
              severity::debug,
              "A suspect asked whether it may be sent to a server; gives the answer."},
    event_row{
        event_id::links_probed,
        "links_probed",
        severity::info,
        "Servers seemed out of reach; connections to some of them were tried. Gives what "
        "raised the suspicion, and how many were accepted."},
    event_row{event_id::links_lost,
              "links_lost",
              severity::warning,
              "This gateway reaches no server, by its own links."},
    event_row{event_id::links_back,
              "links_back",
              severity::info,
              "This gateway reaches servers again."},
    event_row{event_id::request_forwarded,
              "request_forwarded",
              severity::info,
              "The gateway sends a request by another gateway, as it cannot reach its "
              "servers."},
    event_row{event_id::forward_ended,
              "forward_ended",
              severity::info,
              "What became of a request that was sent by another gateway."},
    event_row{event_id::forward_taken,
              "forward_taken",
              severity::info,
              "The gateway sends a request for another gateway, which cannot reach its "
              "servers."},
    event_row{event_id::watch_answered,
              "watch_answered",
              severity::debug,
              "A watch of the store was answered, or got no answer; gives whom it asked, "
              "from which revision, and the revision and the changes that it got."},
    event_row{event_id::drain_begun,
              "drain_begun",
              severity::info,
              "The operator has drained a data centre; gives the revision of the store's "
              "key, the time until the last request is sent there (stop_ms), and whether "
              "the news is known to be recent (dated): if not, that time is 0."},
    event_row{event_id::drain_ended,
              "drain_ended",
              severity::info,
              "The operator has deleted the key that drained a data centre; gives the "
              "revision and the stop time of the drain, and how long it lasted."},
    event_row{
        event_id::drain_unreadable,
        "drain_unreadable",
        severity::error,
        "The value of a key that drains a data centre cannot be read and is ignored: "
        "a data centre that is drained stays so, another one is not drained."},
    event_row{event_id::warm_up_begun,
              "warm_up_begun",
              severity::info,
              "A server with a limit for cold servers is cold; gives who says so and for "
              "how long."},
    event_row{event_id::warm_up_ended,
              "warm_up_ended",
              severity::info,
              "A server is no longer cold; the requests that it gets a second may double "
              "each second."},
    event_row{event_id::server_load_unreadable,
              "server_load_unreadable",
              severity::warning,
              "An answer of a server reported its load, and some figure could not be "
              "read; that figure changes nothing."},
    event_row{
        event_id::server_load_distrusted,
        "server_load_distrusted",
        severity::warning,
        "The load that a server reports contradicts the times of its answers; it is "
        "not used until it agrees again."},
    event_row{event_id::watch_answer_too_large,
              "watch_answer_too_large",
              severity::warning,
              "The answer to a watch of the store is larger than is accepted; gives both "
              "sizes. After a poll or a check, the whole prefix is read instead; a page "
              "is read again after a pause."},
    event_row{event_id::elected,
              "elected",
              severity::info,
              "The assigner holds the lease of a shard."},
    event_row{event_id::lease_lost,
              "lease_lost",
              severity::warning,
              "The assigner lost the lease of a shard, or released it."},
    event_row{event_id::record_written,
              "record_written",
              severity::info,
              "The assigner wrote a new version of a shard record."},
    event_row{event_id::assignment_changed,
              "assignment_changed",
              severity::info,
              "One change of an assignment and its reason."},
    event_row{event_id::write_ended_unknown,
              "write_ended_unknown",
              severity::warning,
              "A write to the store ended without an answer; the assigner reads the "
              "record back."},
    event_row{event_id::patch_ended,
              "patch_ended",
              severity::info,
              "An operator's patch was applied or rejected, or the store failed; gives "
              "the result."},
    event_row{event_id::keys_elected,
              "keys_elected",
              severity::info,
              "This gateway acts as the assigner of keys."},
    event_row{event_id::keys_resigned,
              "keys_resigned",
              severity::warning,
              "This gateway no longer acts as the assigner of keys."},
    event_row{event_id::keys_written,
              "keys_written",
              severity::info,
              "The assigner of keys wrote a new assignment of keys."},
    event_row{event_id::order_ended,
              "order_ended",
              severity::info,
              "A server released keys, or did not carry out an order about its keys."},
    event_row{event_id::keys_handed_over,
              "keys_handed_over",
              severity::info,
              "The assigner of keys ends its lease so that another gateway can take "
              "over."},
    event_row{event_id::keys_predecessor_ended,
              "keys_predecessor_ended",
              severity::info,
              "The last assigner told this one when its grants without an answer "
              "expire."},
    event_row{event_id::keys_waiting,
              "keys_waiting",
              severity::info,
              "Keys that no server can serve, or whose owner leaves, and what they wait "
              "for."},
    event_row{event_id::keys_predecessor_bounded,
              "keys_predecessor_bounded",
              severity::info,
              "Owners of keys have proved that the last assigner gave no long grants."},
    event_row{event_id::keys_predecessor_restarted,
              "keys_predecessor_restarted",
              severity::info,
              "The gateway that was the last assigner has started again, and sent no "
              "orders since."},
    event_row{event_id::grant_accepted,
              "grant_accepted",
              severity::debug,
              "A server accepted a grant or renewal of a partition."},
    event_row{event_id::grant_refused,
              "grant_refused",
              severity::warning,
              "A server refused a grant or renewal: stale epoch or already lapsed."},
    event_row{event_id::grant_revoked,
              "grant_revoked",
              severity::info,
              "A server released a partition on request."},
    event_row{event_id::relay_mode_changed,
              "relay_mode_changed",
              severity::info,
              "The relay started or stopped injecting a fault."},
    event_row{event_id::load_finished,
              "load_finished",
              severity::info,
              "The load tool has sent all its requests."},
};

} // namespace

std::span<const event_row> all_events()
{
    return rows;
}

const event_row& row_of(event_id id)
{
    return *std::lower_bound(rows.begin(),
                             rows.end(),
                             id,
                             [](const event_row& row, event_id value)
                             { return row.id < value; });
}

std::string catalogue_line(const event_row& row)
{
    std::string line = "| " + std::to_string(static_cast<unsigned>(row.id));
    for (std::string_view cell : {row.name, name_of(row.level), row.meaning})
    {
        line.append(" | ").append(cell);
    }
    return line + " |";
}

} // namespace camphorrock
