#include "core/ownership/scheduler_authority.hpp"

#include "core/ownership/majority.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// The longest pause between two attempts to read the record.
constexpr duration max_fetch_backoff = seconds(2);

std::vector<partition_entry> owned_by(const shard_record& record, const server_id& id)
{
    std::vector<partition_entry> list;
    for (const partition_entry& it : record.partitions)
    {
        if (it.owner == id)
        {
            list.push_back(it);
        }
    }
    return list;
}

} // namespace

scheduler_authority::scheduler_authority(shard_id shard,
                                         instance_id self,
                                         ownership_options options,
                                         time_point started_at)
    : shard_(std::move(shard)), self_(std::move(self)), options_(options),
      started_at_(started_at), vote_rounds_(options.authority_ttl)
{
}

void scheduler_authority::set_max_request_time(duration longest)
{
    options_.max_request_time = longest;
    for (auto& [id, link] : links_)
    {
        link.set_max_request_time(longest);
    }
}

void scheduler_authority::store_read(const std::optional<shard_record>& record,
                                     time_point begun_at,
                                     time_point now,
                                     scheduler_actions& actions)
{
    if (begun_at < started_at_)
    {
        return;
    }
    has_read_store_ = true;
    if (record)
    {
        adopt_record(*record, now, actions);
    }
}

void scheduler_authority::record_received(const shard_record& record,
                                          time_point now,
                                          scheduler_actions& actions)
{
    if (has_read_store_)
    {
        adopt_record(record, now, actions);
        return;
    }
    on_higher_version(record.version, now, actions);
}

void scheduler_authority::adopt_record(const shard_record& record,
                                       time_point now,
                                       scheduler_actions& actions)
{
    if (record.shard != shard_ || (record_ && record.version <= record_->version))
    {
        return;
    }
    // An earlier process of this router may have scheduled the servers of the first
    // record.
    std::optional<time_point> predecessor_until;
    if (!record_)
    {
        predecessor_until = started_at_;
    }
    record_ = record;
    fetch_backoff_ = duration{};
    std::map<server_id, server_link> next;
    for (const server_entry& it : record.servers)
    {
        if (it.scheduler != self_)
        {
            continue;
        }
        auto old = links_.extract(it.id);
        auto place =
            old ? next.insert(std::move(old)).position
                : next.emplace(it.id, server_link(options_, predecessor_until, now))
                      .first;
        place->second.update(it, owned_by(record, it.id), now);
    }
    links_ = std::move(next);
    if (!links_.empty())
    {
        start_lease_vote_round(now, actions);
    }
    send_due_server_messages(now, actions);
    report_if_due(now, actions);
}

void scheduler_authority::start_lease_vote_round(time_point now,
                                                 scheduler_actions& actions)
{
    lease_vote_due_ = now + options_.lease_vote_period;
    std::uint64_t round = vote_rounds_.start(*record_, now);
    for (const voter_entry& it : all_voters(*record_))
    {
        actions.push_back(request_lease_vote{it, round, record_->version});
    }
}

void scheduler_authority::lease_vote_answered(const instance_id& voter,
                                              std::uint64_t round,
                                              bool is_ok,
                                              epoch highest,
                                              time_point now,
                                              scheduler_actions& actions)
{
    bool had_authority = holds_authority(now);
    if (is_ok)
    {
        vote_rounds_.answered(voter, round);
    }
    on_higher_version(highest, now, actions);
    if (!had_authority && holds_authority(now))
    {
        send_due_server_messages(now, actions);
    }
}

void scheduler_authority::on_higher_version(epoch highest,
                                            time_point now,
                                            scheduler_actions& actions)
{
    epoch known_version = record_ ? record_->version : epoch{};
    if (known_version < highest && fetch_due_ <= now)
    {
        fetch_backoff_ =
            std::clamp(2 * fetch_backoff_, options_.retry_period, max_fetch_backoff);
        fetch_due_ = now + fetch_backoff_;
        actions.push_back(fetch_record{highest});
    }
}

void scheduler_authority::server_answered(const server_id& server,
                                          server_exchange_id exchange,
                                          const server_reply& reply,
                                          time_point now,
                                          scheduler_actions& actions)
{
    server_link* link = find_link(server);
    if (!link)
    {
        return;
    }
    link->answered(exchange, reply, now);
    link->send_due_messages(vote_rounds_.authority_until(), now, last_exchange_, actions);
    report_if_due(now, actions);
}

void scheduler_authority::server_failed(const server_id& server,
                                        server_exchange_id exchange,
                                        bool is_connection_refused,
                                        time_point now,
                                        scheduler_actions& actions)
{
    if (server_link* link = find_link(server))
    {
        link->failed(exchange, is_connection_refused, now);
        report_if_due(now, actions);
    }
}

std::optional<request_permit> scheduler_authority::permit(key_hash at,
                                                          time_point now) const
{
    const partition_entry* partition = record_ ? find_partition(*record_, at) : nullptr;
    const server_link* link = partition ? find_link(partition->owner) : nullptr;
    if (!link || !holds_authority(now))
    {
        return std::nullopt;
    }
    auto until = link->admits_until(*partition, vote_rounds_.authority_until(), now);
    if (!until)
    {
        return std::nullopt;
    }
    return request_permit{
        partition->owner, link->entry().address, partition->since, *until};
}

bool scheduler_authority::request_sent(const server_id& server,
                                       std::uint64_t request,
                                       key_hash at,
                                       time_point now)
{
    server_link* link = find_link(server);
    return link && link->request_sent(request, at, now);
}

void scheduler_authority::request_ended(const server_id& server,
                                        std::uint64_t request,
                                        bool is_definite)
{
    if (server_link* link = find_link(server))
    {
        link->request_ended(request, is_definite);
    }
}

void scheduler_authority::leave(time_point now, scheduler_actions& actions)
{
    is_leaving_ = true;
    report_if_due(now, actions);
}

void scheduler_authority::tick(time_point now, scheduler_actions& actions)
{
    if (!has_read_store_)
    {
        on_higher_version(epoch{1}, now, actions);
        return;
    }
    if (!links_.empty() && lease_vote_due_ <= now)
    {
        start_lease_vote_round(now, actions);
    }
    send_due_server_messages(now, actions);
    report_if_due(now, actions);
}

void scheduler_authority::send_due_server_messages(time_point now,
                                                   scheduler_actions& actions)
{
    for (auto& [id, link] : links_)
    {
        link.send_due_messages(
            vote_rounds_.authority_until(), now, last_exchange_, actions);
    }
}

bool scheduler_authority::holds_authority(time_point now) const
{
    return now < vote_rounds_.authority_until();
}

bool scheduler_authority::is_scheduler_of(key_hash at) const
{
    const partition_entry* partition = record_ ? find_partition(*record_, at) : nullptr;
    return partition && find_link(partition->owner);
}

shard_report scheduler_authority::make_report(time_point now) const
{
    shard_report report;
    report.router = self_;
    report.version = record_ ? record_->version : epoch{};
    report.is_leaving = is_leaving_;
    for (const auto& [id, link] : links_)
    {
        report.servers.push_back({id, link.condition(now)});
        std::vector<granted_partition> released = link.released(now);
        report.released.insert(report.released.end(), released.begin(), released.end());
    }
    return report;
}

void scheduler_authority::report_if_due(time_point now, scheduler_actions& actions)
{
    shard_report report = make_report(now);
    if (now < report_due_ && report == last_report_)
    {
        return;
    }
    report_due_ = now + options_.report_period;
    last_report_ = report;
    actions.push_back(send_report{std::move(report)});
}

server_link* scheduler_authority::find_link(const server_id& id)
{
    auto it = links_.find(id);
    return it == links_.end() ? nullptr : &it->second;
}

const server_link* scheduler_authority::find_link(const server_id& id) const
{
    auto it = links_.find(id);
    return it == links_.end() ? nullptr : &it->second;
}

} // namespace camphorrock
