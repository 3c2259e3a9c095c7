#pragma once

// How an assigner learns that its predecessor, which may have been killed, has given no
// long grants. Without this it would have to wait until the longest possible grant has
// expired before the keys of a lost server get another owner.
//
// An assigner first states in the store that its grants are short (grant_bound). From
// then on it gives a longer grant only after a notice: it renews grants with an epoch
// above those of its record, and waits until two thirds of the record's owners have
// accepted such a renewal (grant_notice). A server refuses an epoch below one that it has
// seen, so the notice outlasts the assigner.
//
// The successor renews the record's grants with the record's epochs. An owner that
// accepts these has seen no notice. Once more than half of the owners have, no notice was
// complete, and no grant is longer than the bound says (notice_check).
//
//     notice_check check(record);
//     check.accepted(service, granted, sent_at);       // for each accepted renewal
//     if (check.excludes_notice(orders_end, directory, now)) { ... }
//
// An owner's renewals count if they were sent at `orders_end` or later, when the
// predecessor sent no more orders. A server that restarts under its id has forgotten the
// epochs that it saw, so an owner does not count if another incarnation of it is known
// registration_time after the renewals. At least a fifth of the owners are among those
// that a complete notice needs and among those that exclude it, so the proof holds also
// if fewer restart within that time without an entry.
//
// Cost: a row for each range of the record, and a time for each of its renewals, so a
// check is kept only as long as it may end a wait. excludes_notice() is O(renewals +
// owners log servers).

#include "core/gateway/owners/key_assignment.hpp"
#include "core/gateway/servers/server_directory.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorrock
{

// What an assigner states in the store about its grants of one term and those of earlier
// ones. Its own have no longer hold time, unless it has given a notice.
struct grant_bound
{
    instance_id writer;     // of the record
    std::uint64_t term = 0; // of the record's version
    duration hold_time{};   // in whole milliseconds
    // No grant of an earlier term is in force after this time, from the statement on; in
    // whole milliseconds, rounded up.
    duration earlier_left{};

    bool operator==(const grant_bound&) const = default;
};

// One incarnation of a server that owns keys.
struct owner_incarnation
{
    server_id id;
    server_incarnation incarnation;

    auto operator<=>(const owner_incarnation&) const = default;
};

std::set<owner_incarnation> owners_of(const key_assignment& assignment);

// The number of owners that must have accepted a notice before it is complete.
constexpr std::size_t notice_quorum(std::size_t owners)
{
    return (2 * owners + 2) / 3;
}

// The number of owners that must have seen no notice before it is excluded.
constexpr std::size_t exclusion_quorum(std::size_t owners)
{
    const std::size_t shared = (owners + 4) / 5;
    return owners - notice_quorum(owners) + shared;
}

// Within this time a server that starts again has written its entry, and a gateway has
// received it.
constexpr duration registration_time = seconds(1);

class grant_notice
{
public:
    // All grants from now on have the epoch `at` or a higher one, which is above those of
    // all records that were written or are being written.
    void begin(epoch at);

    // A record is made that has these epochs.
    void end();

    bool is_begun() const
    {
        return at_.has_value();
    }

    // No effect if the epoch is lower than that of the notice.
    void accepted(const owner_incarnation& by, epoch at);

    // True if enough of `owners` have accepted the notice.
    bool is_complete(const std::set<owner_incarnation>& owners) const;

private:
    std::optional<epoch> at_;
    std::set<owner_incarnation> accepted_by_;
};

class notice_check
{
public:
    // `record` is that of the predecessor.
    explicit notice_check(const key_assignment& record);

    // The owner accepted a grant that was sent at `sent_at`. No effect unless it is a
    // grant of the record.
    void accepted(const service_name& service,
                  const assigned_key_range& granted,
                  time_point sent_at);

    // True once enough owners have proved that they saw no notice. The predecessor sends
    // no orders from `orders_end` on.
    bool excludes_notice(time_point orders_end,
                         const server_directory& servers,
                         time_point now) const;

private:
    struct renewed_range
    {
        service_name service;
        assigned_key_range range;
        std::vector<time_point> sent_at; // of each accepted renewal
    };

    static bool
    is_renewed(const std::vector<renewed_range>& ranges, time_point from, time_point to);

    std::map<owner_incarnation, std::vector<renewed_range>> owners_;
};

} // namespace camphorrock
