#include "load/ownership_check.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <set>
#include <utility>
#include <variant>

namespace camphorrock
{
namespace
{

// A change of what one server owns in one shard.
using ownership_event = std::variant<grant_record, revoke_record>;

// The server and shard that a record belongs to.
struct server_shard
{
    server_id server;
    shard_id shard;

    auto operator<=>(const server_shard&) const = default;
};

history_time time_of(const ownership_event& event)
{
    return std::visit([](const auto& it) { return it.at; }, event);
}

// Orders events by time. At the same time, a revocation comes before a grant, since the
// grant is of a later epoch.
bool is_before(const ownership_event& one, const ownership_event& other)
{
    return std::pair(time_of(one), one.index() == 0) <
           std::pair(time_of(other), other.index() == 0);
}

// Builds the spans of one server in one shard from its events, in the order of time.
class span_builder
{
public:
    void apply(const grant_record& grant)
    {
        close_lapsed(grant.at);
        for (ownership_span& it : open_)
        {
            if (it.partition == grant.partition && it.grant_epoch == grant.since)
            {
                it.until = std::max(it.until, grant.until);
                return;
            }
        }
        open_.push_back({grant.at,
                         grant.until,
                         grant.server,
                         grant.shard,
                         grant.partition,
                         grant.since});
    }

    void apply(const revoke_record& revoke)
    {
        close_lapsed(revoke.at);
        std::vector<ownership_span> kept;
        for (const ownership_span& it : open_)
        {
            bool is_revoked =
                it.grant_epoch <= revoke.since && it.partition.overlaps(revoke.partition);
            if (is_revoked)
            {
                split_revoked(it, revoke, kept);
            }
            else
            {
                kept.push_back(it);
            }
        }
        open_ = std::move(kept);
    }

    // Returns all spans. The builder must not be used afterwards.
    std::vector<ownership_span> take_spans()
    {
        std::move(open_.begin(), open_.end(), std::back_inserter(closed_));
        return std::move(closed_);
    }

private:
    void close_lapsed(history_time now)
    {
        auto first =
            std::partition(open_.begin(),
                           open_.end(),
                           [&](const ownership_span& it) { return now < it.until; });
        std::move(first, open_.end(), std::back_inserter(closed_));
        open_.erase(first, open_.end());
    }

    // Closes the revoked part of a span. Adds the parts below and above it to `kept`.
    void split_revoked(const ownership_span& span,
                       const revoke_record& revoke,
                       std::vector<ownership_span>& kept)
    {
        const hash_range& revoked = revoke.partition;
        ownership_span middle = span;
        middle.partition = {std::max(span.partition.first, revoked.first),
                            std::min(span.partition.last, revoked.last)};
        middle.until = revoke.at;
        closed_.push_back(middle);
        if (span.partition.first < revoked.first)
        {
            ownership_span below = span;
            below.partition.last = {revoked.first.value - 1};
            kept.push_back(below);
        }
        if (revoked.last < span.partition.last)
        {
            ownership_span above = span;
            above.partition.first = {revoked.last.value + 1};
            kept.push_back(above);
        }
    }

    std::vector<ownership_span> open_;
    std::vector<ownership_span> closed_;
};

std::string describe_span(const ownership_span& span)
{
    return span.server.str() + " epoch " + std::to_string(span.grant_epoch.value) +
           " from " + std::to_string(span.from) + " to " + std::to_string(span.until) +
           " us";
}

bool conflicts(const ownership_span& one, const ownership_span& other)
{
    return one.server != other.server && one.shard == other.shard &&
           one.partition.overlaps(other.partition);
}

std::string to_hex(key_hash at)
{
    return to_string(hash_range{at, at}).substr(0, 16);
}

bool is_owned(const run_start_record& run, const std::vector<ownership_span>& spans)
{
    return std::any_of(spans.begin(),
                       spans.end(),
                       [&](const ownership_span& it)
                       {
                           return it.partition.contains(run.hash) &&
                                  it.grant_epoch == run.since && it.from <= run.at &&
                                  run.at < it.until;
                       });
}

// A run without an end record is taken to have ended at its start.
history_time end_of(const run_start_record& run,
                    const std::map<std::string, history_time>& ends)
{
    auto it = ends.find(run.run);
    return it == ends.end() ? run.at : it->second;
}

std::set<server_id> servers_without_check(const std::vector<run_start_record>& runs)
{
    std::set<server_id> found;
    for (const run_start_record& it : runs)
    {
        if (!it.checks_epoch)
        {
            found.insert(it.server);
        }
    }
    return found;
}

// Returns whether a run overlaps a span of another server in time and hash. `end` is the
// run's start if it has no end record; such a run counts as one microsecond long.
bool overlaps_foreign_grant(const run_start_record& run,
                            history_time end,
                            const ownership_span& span)
{
    // A service has one shard, of the same name.
    return run.at < span.until && span.from < std::max(end, run.at + 1) &&
           span.server != run.server && span.partition.contains(run.hash) &&
           span.shard.str() == run.service.str();
}

// Identifies the runs of one hash in one service.
struct service_hash
{
    service_name service;
    key_hash hash;

    auto operator<=>(const service_hash&) const = default;
};

} // namespace

std::vector<ownership_span> ownership_spans(const std::vector<grant_record>& grants,
                                            const std::vector<revoke_record>& revokes)
{
    std::map<server_shard, std::vector<ownership_event>> events;
    for (const grant_record& it : grants)
    {
        events[{it.server, it.shard}].emplace_back(it);
    }
    for (const revoke_record& it : revokes)
    {
        events[{it.server, it.shard}].emplace_back(it);
    }
    std::vector<ownership_span> spans;
    for (auto& [key, list] : events)
    {
        std::stable_sort(list.begin(), list.end(), is_before);
        span_builder builder;
        for (const ownership_event& event : list)
        {
            std::visit([&](const auto& it) { builder.apply(it); }, event);
        }
        std::vector<ownership_span> server_spans = builder.take_spans();
        std::move(server_spans.begin(), server_spans.end(), std::back_inserter(spans));
    }
    return spans;
}

std::vector<violation> find_two_owners(const std::vector<ownership_span>& spans)
{
    std::vector<ownership_span> sorted = spans;
    std::sort(sorted.begin(),
              sorted.end(),
              [](const ownership_span& one, const ownership_span& other)
              { return one.from < other.from; });
    std::vector<violation> found;
    std::vector<ownership_span> open;
    for (const ownership_span& it : sorted)
    {
        std::erase_if(open,
                      [&](const ownership_span& old) { return old.until <= it.from; });
        for (const ownership_span& old : open)
        {
            if (it.from < it.until && conflicts(old, it))
            {
                found.push_back({violation_kind::two_owners,
                                 it.shard.str() + " " + to_string(it.partition),
                                 describe_span(old) + "; " + describe_span(it)});
            }
        }
        open.push_back(it);
    }
    return found;
}

std::vector<violation> find_runs_not_owned(const std::vector<run_start_record>& runs,
                                           const std::vector<ownership_span>& spans)
{
    std::map<server_shard, std::vector<ownership_span>> by_server_shard;
    for (const ownership_span& it : spans)
    {
        by_server_shard[{it.server, it.shard}].push_back(it);
    }
    std::vector<violation> found;
    for (const run_start_record& it : runs)
    {
        // A service has one shard, of the same name.
        server_shard key{it.server, shard_id(it.service.str())};
        if (it.checks_epoch && !is_owned(it, by_server_shard[key]))
        {
            found.push_back({violation_kind::run_not_owned,
                             it.attempt,
                             "run " + it.run + " of hash " + to_hex(it.hash) +
                                 " at epoch " + std::to_string(it.since.value) + " at " +
                                 std::to_string(it.at) + " us"});
        }
    }
    return found;
}

std::vector<violation>
find_unchecked_runs_during_grants(const std::vector<run_start_record>& runs,
                                  const std::map<std::string, history_time>& ends,
                                  const std::vector<ownership_span>& spans)
{
    const std::set<server_id> unchecked = servers_without_check(runs);
    std::vector<ownership_span> owners;
    std::copy_if(spans.begin(),
                 spans.end(),
                 std::back_inserter(owners),
                 [&](const ownership_span& it)
                 { return !unchecked.contains(it.server); });
    std::vector<violation> found;
    for (const run_start_record& run : runs)
    {
        for (const ownership_span& it : owners)
        {
            if (!run.checks_epoch && overlaps_foreign_grant(run, end_of(run, ends), it))
            {
                found.push_back({violation_kind::two_owners,
                                 run.service.str() + " " + to_hex(run.hash),
                                 "run " + run.run + " at " + std::to_string(run.at) +
                                     " us; " + describe_span(it)});
            }
        }
    }
    return found;
}

std::vector<violation>
find_overlapping_unchecked_runs(const std::vector<run_start_record>& runs,
                                const std::map<std::string, history_time>& ends)
{
    std::map<service_hash, std::vector<const run_start_record*>> by_service_hash;
    for (const run_start_record& it : runs)
    {
        by_service_hash[{it.service, it.hash}].push_back(&it);
    }
    std::vector<violation> found;
    for (auto& [key, list] : by_service_hash)
    {
        std::sort(list.begin(),
                  list.end(),
                  [](const auto* one, const auto* other) { return one->at < other->at; });
        std::vector<const run_start_record*> open;
        for (const run_start_record* it : list)
        {
            std::erase_if(open,
                          [&](const auto* old) { return end_of(*old, ends) <= it->at; });
            for (const run_start_record* old : open)
            {
                if (old->server != it->server && !old->checks_epoch && !it->checks_epoch)
                {
                    found.push_back({violation_kind::two_owners,
                                     key.service.str() + " " + to_hex(key.hash),
                                     "runs " + old->run + " and " + it->run +
                                         " overlap at " + std::to_string(it->at) +
                                         " us"});
                }
            }
            open.push_back(it);
        }
    }
    return found;
}

} // namespace camphorrock
