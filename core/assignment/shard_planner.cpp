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

// The schedulers of servers whose router is lost, leaving, or cut off from its servers.
void shard_planner::plan_schedulers()
{
    std::erase_if(memory_.doubted_by,
                  [&](const auto& it)
                  {
                      const server_entry* server = find_server(next_, it.first);
                      return !server || view_.routers.condition_of(*server, view_.now) ==
                                            server_condition::alive;
                  });
    for (server_entry& it : next_.servers)
    {
        plan_scheduler(it);
    }
    spread_schedulers();
}

void shard_planner::plan_scheduler(server_entry& server)
{
    bool is_doubted = is_cut_off_router(server);
    if (!needs_scheduler(server) && !is_doubted)
    {
        return;
    }
    std::optional<router_instance> router = choose_other_scheduler(server);
    if (!router)
    {
        return;
    }
    if (server.checks_epoch || is_all_released(server.id))
    {
        if (is_doubted)
        {
            memory_.doubted_by[server.id] = server.scheduler;
        }
        set_scheduler(
            server, *router, is_doubted ? "cut off from its servers" : "lost or leaving");
        return;
    }
    for (partition_entry& it : next_.partitions)
    {
        if (it.owner == server.id && it.moving_to.empty())
        {
            start_move(it, server.id, "the scheduler is lost or leaving");
        }
    }
}

std::optional<router_instance>
shard_planner::choose_other_scheduler(const server_entry& server) const
{
    std::vector<router_instance> routers = view_.routers.usable(view_.now);
    std::erase_if(routers,
                  [&](const router_instance& it) { return it.id == server.scheduler; });
    const server_view* config = config_of(server.id);
    return choose_scheduler(next_, config ? config->zone : data_centre(), routers);
}

// Evens out the schedulers after routers came back, one server at a time.
void shard_planner::spread_schedulers()
{
    std::vector<router_instance> routers = view_.routers.usable(view_.now);
    if (has_changed_ || routers.empty() || view_.now < memory_.spread_due ||
        moving_count() > 0)
    {
        return;
    }
    memory_.spread_due = view_.now + view_.options.spread_period;
    std::optional<router_instance> idle = choose_scheduler(next_, {}, routers);
    for (server_entry& it : next_.servers)
    {
        bool is_uneven =
            servers_of(next_, it.scheduler) > servers_of(next_, idle->id) + 1;
        if (is_uneven && it.checks_epoch)
        {
            set_scheduler(it, *idle, "spread over the routers");
            return;
        }
    }
}

bool shard_planner::needs_scheduler(const server_entry& server) const
{
    if (server.scheduler.empty())
    {
        return true;
    }
    bool is_silent = view_.routers.is_silent_for(
        server.scheduler, view_.options.router_silence, view_.now);
    bool is_leaving = view_.routers.is_heard(server.scheduler, view_.now) &&
                      !view_.routers.is_usable(server.scheduler, view_.now);
    return is_silent || is_leaving;
}

// A router to which all of its servers are lost may be the one that is cut off. A second
// router's word decides, where asking it costs no wait.
bool shard_planner::is_cut_off_router(const server_entry& server) const
{
    bool is_first_word = !memory_.doubted_by.contains(server.id);
    if (!server.checks_epoch || !is_first_word || servers_of(next_, server.scheduler) < 2)
    {
        return false;
    }
    bool has_spare_router = view_.routers.usable(view_.now).size() > 1;
    return has_spare_router &&
           std::all_of(next_.servers.begin(),
                       next_.servers.end(),
                       [&](const server_entry& it)
                       {
                           return it.scheduler != server.scheduler ||
                                  view_.routers.condition_of(it, view_.now) ==
                                      server_condition::lost;
                       });
}

void shard_planner::finish_moves()
{
    for (partition_entry& it : next_.partitions)
    {
        if (it.moving_to.empty())
        {
            continue;
        }
        const server_entry* owner = find_server(next_, it.owner);
        const server_entry* target = find_server(next_, it.moving_to);
        bool is_usable = target && is_wanted(*target) && !is_lost(*target);
        if (!is_usable)
        {
            std::optional<server_id> other = least_loaded(next_, targets(it.owner));
            bool can_stay = owner && is_wanted(*owner) && !is_lost(*owner);
            server_id to = other ? *other : can_stay ? it.owner : it.moving_to;
            if (to != it.moving_to)
            {
                start_move(it, to, "the new owner is lost");
            }
            continue;
        }
        // A move to the same owner stands for a change of scheduler, if there is another.
        bool is_waiting = it.owner == it.moving_to && needs_scheduler(*owner) &&
                          choose_other_scheduler(*owner);
        if (!is_waiting && is_released(it))
        {
            set_owner(it, it.moving_to, "released by " + it.owner.str());
        }
    }
}

void shard_planner::place_unowned()
{
    for (partition_entry& it : next_.partitions)
    {
        if (!it.owner.empty())
        {
            continue;
        }
        std::set<server_id> candidates = targets({});
        if (view_.record.version == epoch{})
        {
            for (const server_entry& server : next_.servers)
            {
                if (is_wanted(server))
                {
                    candidates.insert(server.id);
                }
            }
        }
        if (std::optional<server_id> to = least_loaded(next_, candidates))
        {
            set_owner(it, *to, "first assignment");
            memory_.joining.erase(*to);
        }
    }
}

// Off servers that are lost (all at once), draining or no longer declared (a few at
// once).
void shard_planner::leave_servers()
{
    for (partition_entry& it : next_.partitions)
    {
        const server_entry* owner = find_server(next_, it.owner);
        if (!owner || !it.moving_to.empty())
        {
            continue;
        }
        std::string reason = reason_to_leave(it.owner);
        bool is_planned = !is_lost(*owner);
        if (reason.empty() ||
            (is_planned && moving_count() >= view_.options.max_planned_moves))
        {
            continue;
        }
        if (std::optional<server_id> to = least_loaded(next_, targets(it.owner)))
        {
            start_move(it, *to, reason);
        }
    }
}

std::string shard_planner::reason_to_leave(const server_id& owner) const
{
    const server_entry* entry = find_server(next_, owner);
    if (is_lost(*entry))
    {
        return "server " + owner.str() + " is lost";
    }
    if (!is_wanted(*entry))
    {
        return "server " + owner.str() + " drains, or is declared otherwise";
    }
    return {};
}

// A server that owns nothing gets its fair number of partitions, from those with most.
void shard_planner::join_servers()
{
    std::set<server_id> alive = targets({});
    std::size_t fair = alive.empty() ? 0 : next_.partitions.size() / alive.size();
    for (const server_id& it : alive)
    {
        std::size_t owned = partitions_of(next_, it);
        if (owned == 0)
        {
            memory_.joining.insert(it);
        }
        if (owned >= fair)
        {
            memory_.joining.erase(it);
        }
    }
    for (const server_id& to : memory_.joining)
    {
        while (alive.contains(to) && partitions_of(next_, to) < fair &&
               moving_count() < view_.options.max_planned_moves)
        {
            auto most = std::max_element(
                alive.begin(),
                alive.end(),
                [&](const server_id& one, const server_id& other)
                { return partitions_of(next_, one) < partitions_of(next_, other); });
            auto from = std::find_if(next_.partitions.begin(),
                                     next_.partitions.end(),
                                     [&](const partition_entry& it) {
                                         return it.owner == *most && it.moving_to.empty();
                                     });
            if (from == next_.partitions.end())
            {
                break;
            }
            start_move(*from, to, "server " + to.str() + " joins");
        }
    }
}

void shard_planner::follow_plan()
{
    while (!memory_.plan.empty() && moving_count() < view_.options.max_planned_moves)
    {
        planner_memory::waiting_step waiting = memory_.plan.front();
        memory_.plan.pop_front();
        if (!take_step(waiting.step, waiting.reason))
        {
            note(change_kind::step_dropped, std::nullopt, {}, waiting.reason);
        }
    }
}

bool shard_planner::take_step(const rebalance_step& step, const std::string& reason)
{
    if (const auto* move = std::get_if<move_step>(&step))
    {
        return take_move(*move, reason);
    }
    if (const auto* split = std::get_if<split_step>(&step))
    {
        return take_split(*split, reason);
    }
    return take_merge(std::get<merge_step>(step), reason);
}

bool shard_planner::take_move(const move_step& step, const std::string& reason)
{
    auto it =
        std::find_if(next_.partitions.begin(),
                     next_.partitions.end(),
                     [&](const partition_entry& one) { return one.range == step.range; });
    bool is_possible = it != next_.partitions.end() && it->moving_to.empty() &&
                       targets(it->owner).contains(step.to);
    if (is_possible)
    {
        start_move(*it, step.to, reason);
    }
    return is_possible;
}

// Both halves keep the epoch: owner and scheduler are the same.
bool shard_planner::take_split(const split_step& step, const std::string& reason)
{
    auto it = std::find_if(next_.partitions.begin(),
                           next_.partitions.end(),
                           [&](const partition_entry& one)
                           { return one.range.contains(step.at); });
    if (it->range.first == step.at || !it->moving_to.empty() ||
        next_.partitions.size() >= view_.ownership.max_partitions)
    {
        return false;
    }
    partition_entry upper = *it;
    upper.range.first = step.at;
    it->range.last = {step.at.value - 1};
    note(change_kind::split, upper.range, upper.owner, reason);
    next_.partitions.insert(std::next(it), upper);
    return true;
}

bool shard_planner::take_merge(const merge_step& step, const std::string& reason)
{
    auto it = std::find_if(next_.partitions.begin(),
                           next_.partitions.end(),
                           [&](const partition_entry& one)
                           { return one.range.first == step.at; });
    if (it == next_.partitions.begin() || it == next_.partitions.end())
    {
        return false;
    }
    auto lower = std::prev(it);
    if (lower->owner != it->owner || !lower->moving_to.empty() || !it->moving_to.empty())
    {
        return false;
    }
    if (lower->since != it->since)
    {
        lower->since = next_.version;
    }
    lower->range.last = it->range.last;
    note(change_kind::merged, lower->range, lower->owner, reason);
    next_.partitions.erase(it);
    return true;
}

void shard_planner::plan_voters()
{
    if (!next_.previous_voters.empty())
    {
        finish_voters();
        return;
    }
    bool is_lost_long = view_.options.voters_lost_after <= view_.without_majority;
    if (view_.hears_majority || next_.voters.empty() || is_lost_long)
    {
        replace_voters();
    }
}

void shard_planner::replace_voters()
{
    std::vector<router_instance> kept;
    for (const voter_entry& it : next_.voters)
    {
        bool is_gone = view_.routers.is_silent_for(
            it.id, view_.options.voter_replace_after, view_.now);
        bool is_leaving = view_.routers.is_heard(it.id, view_.now) &&
                          !view_.routers.is_usable(it.id, view_.now);
        if (!is_gone && !is_leaving)
        {
            const router_state* state = view_.routers.find(it.id);
            kept.push_back(
                {it.id, it.peer, state ? state->self.zone : data_centre(), false});
        }
    }
    std::vector<voter_entry> voters =
        choose_voters(kept, view_.routers.usable(view_.now), view_.options.max_voters);
    bool is_smaller = voters.size() < next_.voters.size();
    if (voters == next_.voters || voters.empty() || is_smaller)
    {
        return;
    }
    next_.previous_voters = next_.voters;
    next_.voters = voters;
    note(change_kind::voters_changed,
         std::nullopt,
         {},
         "voters are lost, leaving or too few");
}

// The previous voters go once both sets refuse versions from before the change. Where the
// new ones are lost before that, the previous ones come back.
void shard_planner::finish_voters()
{
    if (view_.fences.is_fenced(view_.record.version, view_.now))
    {
        next_.previous_voters.clear();
        note(change_kind::voters_changed, std::nullopt, {}, "the change is fenced");
        return;
    }
    std::set<instance_id> present;
    for (const voter_entry& it : next_.voters)
    {
        if (!view_.routers.is_silent_for(
                it.id, view_.options.voter_replace_after, view_.now))
        {
            present.insert(it.id);
        }
    }
    if (!is_majority(next_.voters, present) && next_.voters != next_.previous_voters)
    {
        next_.voters = next_.previous_voters;
        note(change_kind::voters_changed, std::nullopt, {}, "the new voters are lost");
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
    duration extra = owner->checks_epoch
                         ? no_extra
                         : with_drift(view_.config.max_request_time, view_.ownership);
    return is_reported || seen->second.seen_at <= view_.fences.barrier(view_.now, extra);
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
