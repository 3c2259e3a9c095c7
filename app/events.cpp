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
    event_row{event_id::grant_accepted,
              "grant_accepted",
              severity::debug,
              "A server took a grant or renewal of a partition."},
    event_row{event_id::grant_refused,
              "grant_refused",
              severity::warning,
              "A server refused a grant or renewal: stale epoch or already lapsed."},
    event_row{event_id::grant_revoked,
              "grant_revoked",
              severity::info,
              "A server gave a partition up on request."},
    event_row{event_id::relay_mode_changed,
              "relay_mode_changed",
              severity::info,
              "The relay was told to inject or to end a fault."},
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
