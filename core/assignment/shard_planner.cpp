#include "core/assignment/shard_planner.hpp"

#include "core/assignment/placement.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr duration no_extra{};

} // namespace

shard_planner::shard_planner(const planner_view& view, planner_memory& memory)
    : view_(view), memory_(memory), next_(view.record)
{
    next_.version = {view.record.version.value + 1};
    next_.assigner = view.self;
}

shard_record shard_planner::first_record(const shard_id& shard)
{
    shard_record record;
    record.shard = shard;
    return record;
}

void shard_planner::plan()
{
    bool is_new = view_.record.version == epoch{};
    if (is_new && !view_.routers.has_listened(view_.now))
    {
        return;
    }
    plan_voters();
    if (next_.voters.empty() || !(view_.hears_majority || is_new))
    {
        return;
    }
    plan_servers();
    plan_schedulers();
    plan_partitions();
}

void shard_planner::plan_partitions()
{
    if (next_.partitions.empty())
    {
        for (const hash_range& it : equal_ranges(view_.config.partition_count))
        {
            next_.partitions.push_back({it, {}, next_.version, {}});
        }
        note(change_kind::created, std::nullopt, {}, "the shard had no record");
    }
    finish_moves();
    place_unowned();
    leave_servers();
    join_servers();
    follow_plan();
}

// Servers as the configuration declares them. One that owns partitions stays until they
// have moved, also where its address changed: another process may answer there.
void shard_planner::plan_servers()
{
    std::erase_if(next_.servers,
                  [&](const server_entry& it)
                  {
                      bool is_gone = !is_declared(it) && !is_in_use(it.id);
                      if (is_gone)
                      {
                          note(change_kind::server_removed,
                               std::nullopt,
                               it.id,
                               "not declared and owns nothing");
                      }
                      return is_gone;
                  });
    for (const server_view& it : view_.config.servers)
    {
        if (find_server(next_, it.id))
        {
            continue;
        }
        server_entry entry{it.id, it.address, it.checks_epoch, {}, {}, next_.version};
        auto place =
            std::lower_bound(next_.servers.begin(),
                             next_.servers.end(),
                             entry,
                             [](const server_entry& one, const server_entry& other)
                             { return one.id < other.id; });
        next_.servers.insert(place, entry);
        memory_.joining.insert(it.id);
        note(change_kind::server_added, std::nullopt, it.id, "declared");
    }
}

const server_view* shard_planner::config_of(const server_id& id) const
{
    auto it = std::find_if(view_.config.servers.begin(),
                           view_.config.servers.end(),
                           [&](const server_view& one) { return one.id == id; });
    return it == view_.config.servers.end() ? nullptr : &*it;
}

// Declared as the record has it.
bool shard_planner::is_declared(const server_entry& server) const
{
    const server_view* config = config_of(server.id);
    return config && config->address == server.address &&
           config->checks_epoch == server.checks_epoch;
}

bool shard_planner::is_wanted(const server_entry& server) const
{
    return is_declared(server) && !config_of(server.id)->is_draining;
}

bool shard_planner::is_in_use(const server_id& id) const
{
    return std::any_of(next_.partitions.begin(),
                       next_.partitions.end(),
                       [&](const partition_entry& it)
                       { return it.owner == id || it.moving_to == id; });
}

bool shard_planner::is_lost(const server_entry& server) const
{
    return view_.routers.condition_of(server, view_.now) == server_condition::lost &&
           !is_cut_off_router(server);
}

// See the invariants of shard_controller.
bool shard_planner::is_released(const partition_entry& partition) const
{
    const server_entry* owner = find_server(view_.record, partition.owner);
    const partition_entry* recorded = find_partition(view_.record, partition.range.first);
    auto seen = memory_.moves.find(partition.range.first);
    if (!owner || !recorded || recorded->moving_to.empty() || seen == memory_.moves.end())
    {
        return false;
    }
    bool is_reported = view_.routers.is_released(owner->scheduler, *recorded) &&
                       recorded->since <= view_.fences.barrier(view_.now, no_extra);
    if (owner->checks_epoch)
    {
        return is_reported ||
               seen->second.seen_at <= view_.fences.barrier(view_.now, no_extra);
    }
    // Time alone does not prove that such a server has ended its work: it may be frozen.
    // For another scheduler of the same server it is enough.
    bool is_scheduler_only = recorded->moving_to == recorded->owner;
    duration extra = with_drift(view_.config.max_request_time, view_.ownership);
    return is_reported ||
           (is_scheduler_only &&
            seen->second.seen_at <= view_.fences.barrier(view_.now, extra));
}

// Has the fence that a release needs been complete for long enough? A planned move that
// began earlier would leave the partition unserved until then.
bool shard_planner::is_settled(const partition_entry& partition) const
{
    return partition.since <= view_.fences.barrier(view_.now, no_extra);
}

// Is nothing held by this server? True as well where it owns nothing.
bool shard_planner::is_all_released(const server_id& owner) const
{
    return std::all_of(next_.partitions.begin(),
                       next_.partitions.end(),
                       [&](const partition_entry& it)
                       { return it.owner != owner || is_released(it); });
}

// The servers that can take a partition now.
std::set<server_id> shard_planner::targets(const server_id& except) const
{
    std::set<server_id> list;
    for (const server_entry& it : next_.servers)
    {
        bool is_alive =
            view_.routers.condition_of(it, view_.now) == server_condition::alive;
        if (it.id != except && is_alive && is_wanted(it))
        {
            list.insert(it.id);
        }
    }
    return list;
}

std::size_t shard_planner::moving_count() const
{
    auto n =
        std::count_if(next_.partitions.begin(),
                      next_.partitions.end(),
                      [](const partition_entry& it) { return !it.moving_to.empty(); });
    return static_cast<std::size_t>(n);
}

void shard_planner::start_move(partition_entry& partition,
                               const server_id& to,
                               std::string reason)
{
    partition.moving_to = to;
    note(change_kind::move_started, partition.range, to, std::move(reason));
}

void shard_planner::set_owner(partition_entry& partition,
                              const server_id& owner,
                              std::string reason)
{
    partition.owner = owner;
    partition.moving_to = {};
    partition.since = next_.version;
    note(change_kind::move_ended, partition.range, owner, std::move(reason));
}

void shard_planner::set_scheduler(server_entry& server,
                                  const router_instance& router,
                                  const std::string& reason)
{
    note(change_kind::scheduler_set,
         std::nullopt,
         server.id,
         router.id.str() + " for " + server.scheduler.str() + ": " + reason);
    server.scheduler = router.id;
    server.scheduler_peer = router.peer;
    server.since = next_.version;
    for (partition_entry& it : next_.partitions)
    {
        if (it.owner == server.id)
        {
            it.since = next_.version;
        }
    }
}

void shard_planner::note(change_kind kind,
                         std::optional<hash_range> range,
                         const server_id& server,
                         std::string reason)
{
    has_changed_ = has_changed_ || kind != change_kind::step_dropped;
    changes_.push_back(
        {next_.version, view_.now, kind, range, server, std::move(reason)});
}

} // namespace camphorrock
