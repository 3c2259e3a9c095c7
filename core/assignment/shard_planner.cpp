#include "core/assignment/shard_planner.hpp"

#include "core/assignment/placement.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr duration no_extra_time{};

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
    if (is_new && !view_.routers.has_waited_for_reports(view_.now))
    {
        return;
    }
    plan_voters();
    if (next_.voters.empty() || !(view_.reaches_majority || is_new))
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
        record_change(change_kind::created, std::nullopt, {}, "the shard had no record");
    }
    finish_moves();
    assign_unowned();
    evacuate_servers();
    fill_joining_servers();
    apply_pending_steps();
}

// Adds declared servers and removes undeclared ones. A server that owns partitions stays
// until they have moved. This also holds if its address changed, since another process
// may answer at the new address.
void shard_planner::plan_servers()
{
    std::erase_if(next_.servers,
                  [&](const server_entry& it)
                  {
                      bool is_removable = !matches_config(it) && !is_in_use(it.id);
                      if (is_removable)
                      {
                          record_change(change_kind::server_removed,
                                        std::nullopt,
                                        it.id,
                                        "not declared and owns nothing");
                      }
                      return is_removable;
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
        memory_.joining_servers.insert(it.id);
        record_change(change_kind::server_added, std::nullopt, it.id, "declared");
    }
}

const server_view* shard_planner::find_config(const server_id& id) const
{
    auto it = std::find_if(view_.config.servers.begin(),
                           view_.config.servers.end(),
                           [&](const server_view& one) { return one.id == id; });
    return it == view_.config.servers.end() ? nullptr : &*it;
}

// Returns whether the server is declared with the address and epoch check that the record
// states.
bool shard_planner::matches_config(const server_entry& server) const
{
    const server_view* config = find_config(server.id);
    return config && config->address == server.address &&
           config->checks_epoch == server.checks_epoch;
}

// Returns whether the server is declared as recorded, and not draining.
bool shard_planner::can_own_partitions(const server_entry& server) const
{
    return matches_config(server) && !find_config(server.id)->is_draining;
}

bool shard_planner::is_in_use(const server_id& id) const
{
    return std::any_of(next_.partitions.begin(),
                       next_.partitions.end(),
                       [&](const partition_entry& it)
                       { return it.owner == id || it.moving_to == id; });
}

// Returns whether the server is reported as lost by a scheduler that is not suspected
// itself.
bool shard_planner::is_lost(const server_entry& server) const
{
    return view_.routers.condition_of(server, view_.now) == server_condition::lost &&
           !is_suspected_scheduler(server);
}

// Returns whether the moving partition may get its new owner. See the invariants of
// shard_controller.
bool shard_planner::is_released(const partition_entry& partition) const
{
    const server_entry* owner = find_server(view_.record, partition.owner);
    const partition_entry* recorded = find_partition(view_.record, partition.range.first);
    auto observed = memory_.moves.find(partition.range.first);
    if (!owner || !recorded || recorded->moving_to.empty() ||
        observed == memory_.moves.end())
    {
        return false;
    }
    bool is_reported = view_.routers.is_released(owner->scheduler, *recorded) &&
                       recorded->since <= view_.fences.barrier(view_.now, no_extra_time);
    if (owner->checks_epoch)
    {
        return is_reported || observed->second.first_version <=
                                  view_.fences.barrier(view_.now, no_extra_time);
    }
    // Elapsed time does not prove that a server without epoch checks has ended its work,
    // since it may be frozen. It suffices for another scheduler of the same server.
    bool is_scheduler_only = recorded->moving_to == recorded->owner;
    duration extra = with_drift(view_.config.max_request_time, view_.ownership);
    return is_reported ||
           (is_scheduler_only &&
            observed->second.first_version <= view_.fences.barrier(view_.now, extra));
}

// Returns whether the fence that a release requires has been complete for long enough. A
// planned move that starts earlier would leave the partition unserved until then.
bool shard_planner::is_ready_to_move(const partition_entry& partition) const
{
    return partition.since <= view_.fences.barrier(view_.now, no_extra_time);
}

// Returns whether all partitions of the server are released. True if it owns none.
bool shard_planner::has_released_all(const server_id& owner) const
{
    return std::all_of(next_.partitions.begin(),
                       next_.partitions.end(),
                       [&](const partition_entry& it)
                       { return it.owner != owner || is_released(it); });
}

// The servers other than `except` that are alive and can own partitions.
std::set<server_id> shard_planner::move_targets(const server_id& except) const
{
    std::set<server_id> list;
    for (const server_entry& it : next_.servers)
    {
        bool is_alive =
            view_.routers.condition_of(it, view_.now) == server_condition::alive;
        if (it.id != except && is_alive && can_own_partitions(it))
        {
            list.insert(it.id);
        }
    }
    return list;
}

std::size_t shard_planner::count_moving() const
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
    record_change(change_kind::move_started, partition.range, to, std::move(reason));
}

void shard_planner::set_owner(partition_entry& partition,
                              const server_id& owner,
                              std::string reason)
{
    partition.owner = owner;
    partition.moving_to = {};
    partition.since = next_.version;
    record_change(change_kind::move_ended, partition.range, owner, std::move(reason));
}

void shard_planner::set_scheduler(server_entry& server,
                                  const router_instance& router,
                                  const std::string& reason)
{
    record_change(change_kind::scheduler_set,
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

void shard_planner::record_change(change_kind kind,
                                  std::optional<hash_range> range,
                                  const server_id& server,
                                  std::string reason)
{
    has_changed_ = has_changed_ || kind != change_kind::step_dropped;
    changes_.push_back(
        {next_.version, view_.now, kind, range, server, std::move(reason)});
}

} // namespace camphorrock
