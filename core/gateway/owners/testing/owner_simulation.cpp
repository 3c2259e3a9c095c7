#include "core/gateway/owners/testing/owner_simulation.hpp"

#include <algorithm>
#include <functional>

namespace camphorrock::testing
{
namespace
{

constexpr duration step_duration = milliseconds(10);
constexpr unsigned tracked_key_spacing = 512; // between the keys whose owner is tracked
constexpr duration heartbeat_period = milliseconds(870); // of a server
constexpr duration max_aside_latency = milliseconds(60);

const service_name service("valves");

bool overlap(const shard_key_range& a, const shard_key_range& b)
{
    return a.first <= b.last && b.first <= a.last;
}

} // namespace

owner_simulation::owner_simulation(owner_simulation_options options, std::uint64_t seed)
    : options_(options), random_(seed), statement_random_(seed)
{
    for (unsigned n = 0; n < options_.servers; ++n)
    {
        server made;
        made.entry.id = server_id("s" + std::to_string(n));
        made.entry.incarnation.started_ms = 1;
        made.entry.service = service;
        made.entry.slots = 3;
        made.entry.zone = data_centre("z" + std::to_string(n % options_.data_centres));
        made.written_entry = made.entry;
        servers_.push_back(made);
    }
    for (unsigned n = 0; n < options_.assigners; ++n)
    {
        assigner made;
        made.name = "g" + std::to_string(n);
        assigners_.push_back(std::move(made));
    }
}

bool owner_simulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

duration owner_simulation::random_duration(duration from, duration to)
{
    return duration(
        std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random_));
}

void owner_simulation::schedule(duration delay, std::function<void()> action)
{
    events_.push_back({now_ + delay, ++last_event_, std::move(action)});
}

void owner_simulation::schedule_aside(duration delay, std::function<void()> action)
{
    events_aside_.push_back({now_ + delay, ++last_event_, std::move(action)});
}

double owner_simulation::any_fraction()
{
    return std::uniform_real_distribution<double>(0, 1)(statement_random_);
}

void owner_simulation::end_faults()
{
    has_ended_faults_ = true;
    drained_.clear();
    store_unavailable_until_ = now_;
    for (assigner& it : assigners_)
    {
        it.frozen_until = now_;
        it.store_unreachable_until = now_;
        it.unreachable_server.reset();
    }
    for (server& it : servers_)
    {
        it.is_listed = it.is_up;
        it.cut_off_until = now_;
        it.entry.is_draining = false;
    }
}

void owner_simulation::begin_fault()
{
    assigner& some = assigners_[random_() % assigners_.size()];
    server& at = servers_[random_() % servers_.size()];
    if (any_fraction() < options_.combined_fraction)
    {
        begin_combined_fault();
        return;
    }
    switch (random_() % 8)
    {
    case 0:
        some.frozen_until = now_ + random_duration(milliseconds(100), seconds(4));
        break;
    case 1:
        some.store_unreachable_until =
            now_ + random_duration(milliseconds(500), seconds(6));
        break;
    case 2:
        store_unavailable_until_ = now_ + random_duration(milliseconds(500), seconds(9));
        break;
    case 3: // the assigner process is killed and restarts
        some.role.reset();
        some.term_end.reset();
        some.restarted_at = now_;
        break;
    case 4: // the server crashes; it restarts under its id, before or after its entry
            // expires
        at.is_up = false;
        at.held_ranges.clear();
        at.accepted_epochs.clear();
        schedule(milliseconds(2600), [&at] { at.is_listed = at.is_up; });
        schedule(random_duration(milliseconds(500), seconds(6)),
                 [&at]
                 {
                     at.is_up = true;
                     at.is_listed = true;
                     ++at.entry.incarnation.started_ms;
                 });
        break;
    case 5:
        some.unreachable_server = random_() % servers_.size();
        schedule(random_duration(milliseconds(500), seconds(5)),
                 [&some] { some.unreachable_server.reset(); });
        break;
    case 6:
        at.entry.is_draining = true;
        schedule(random_duration(seconds(1), seconds(5)),
                 [&at] { at.entry.is_draining = false; });
        break;
    case 7: // the lease ends early
        lease_until_ = now_;
        break;
    }
}

// Drains a data centre, or ends that.
void owner_simulation::change_drain()
{
    constexpr double change_fraction = 0.004; // of steps
    if (options_.data_centres == 1 || any_fraction() >= change_fraction)
    {
        return;
    }
    const auto n = static_cast<unsigned>(any_fraction() * options_.data_centres);
    const data_centre zone("z" + std::to_string(n));
    const bool is_drained = drained_.erase(zone) == 0;
    if (is_drained)
    {
        drained_.insert(zone);
        ++drains_;
    }
}

void owner_simulation::read_drains(assigner& it) const
{
    const std::map<data_centre, evacuation> known = it.evacuated.all();
    for (const auto& [zone, drain] : known)
    {
        if (!drained_.contains(zone))
        {
            it.evacuated.end(zone, now_);
        }
    }
    for (const data_centre& zone : drained_)
    {
        it.evacuated.begin(zone, {1, milliseconds(1100)}, now_);
    }
    it.servers.set_evacuations(it.evacuated);
}

// The cut-off server keeps what it was granted, and the killed assigner alone knew what
// that was.
void owner_simulation::begin_combined_fault()
{
    store_unavailable_until_ =
        now_ + milliseconds(300 + static_cast<int>(2500 * any_fraction()));
    const auto in_outage = [this]
    {
        return milliseconds(static_cast<int>(2000 * any_fraction()));
    };
    const auto n =
        static_cast<std::size_t>(any_fraction() * static_cast<double>(servers_.size()));
    const duration cut_at = in_outage();
    schedule_aside(cut_at,
                   [this, n]
                   {
                       servers_[n].cut_off_until = now_ + seconds(13);
                       servers_[n].is_listed = false;
                   });
    schedule_aside(cut_at + seconds(13),
                   [this, n] { servers_[n].is_listed = servers_[n].is_up; });
    schedule_aside(in_outage(),
                   [this]
                   {
                       if (lease_holder_)
                       {
                           assigner& it = assigners_[*lease_holder_];
                           it.role.reset();
                           it.term_end.reset();
                           it.restarted_at = now_;
                       }
                   });
    // One of the others forgets what it was told.
    const std::size_t other = (n + 1) % servers_.size();
    schedule_aside(in_outage(),
                   [this, other]
                   {
                       server& it = servers_[other];
                       if (it.is_up)
                       {
                           it.held_ranges.clear();
                           it.accepted_epochs.clear();
                           ++it.entry.incarnation.started_ms;
                       }
                   });
}

void owner_simulation::keep_copy()
{
    constexpr duration max_age = seconds(8);
    copies_.push_back(
        {now_, record_, record_revision_, lease_holder_, lease_until_, bound_});
    if (now_ - copies_.front().at > max_age)
    {
        copies_.erase(copies_.begin());
    }
}

// Brings back an older state. The revisions since then are given out again, and a lease
// runs anew.
void owner_simulation::restore_store()
{
    const store_content& copy = copies_[random_() % copies_.size()];
    record_ = copy.record;
    record_revision_ = copy.record_revision;
    bound_ = copy.bound;
    lease_holder_ = copy.lease_holder;
    lease_until_ = now_ + options_.assigner.authority_ttl;
    ++era_.value;
    ++restores_;
    copies_.clear();
    keep_copy();
}

// True if the assigner knows all grants that may be in force: no other one was elected
// since its last renewal, and none has written a record in this era.
bool owner_simulation::may_go_on(const assigner& it) const
{
    return it.role && it.role->has_authority(now_) &&
           era_of_number(record_.epoch_limit.value) < era_;
}

// An assigner that learns of a new era asks for the lease again; if it is no longer the
// one that knows all grants, it starts anew from the record.
void owner_simulation::notice_era(std::size_t n)
{
    assigner& it = assigners_[n];
    if (it.era == era_ || !is_store_reachable(it) || !chance(0.1))
    {
        return;
    }
    it.era = era_;
    if (!it.role)
    {
        return;
    }
    const bool is_elected = !lease_holder_ || lease_holder_ == n;
    if (!is_elected || !may_go_on(it))
    {
        resign(n);
        return;
    }
    lease_holder_ = n;
    lease_until_ = now_ + options_.assigner.authority_ttl;
    it.record_revision = record_revision_;
    it.role->begin_era(era_, now_);
    it.role->lease_renewed(now_);
}

bool owner_simulation::is_store_reachable(const assigner& it) const
{
    return now_ >= store_unavailable_until_ && now_ >= it.store_unreachable_until;
}

// Removes and returns the events whose time has come.
std::vector<owner_simulation::event>
owner_simulation::take_due(std::vector<event>& from) const
{
    std::vector<event> due;
    std::erase_if(from,
                  [&](const event& it)
                  {
                      const bool is_due = it.at <= now_;
                      if (is_due)
                      {
                          due.push_back(it);
                      }
                      return is_due;
                  });
    return due;
}

std::optional<std::string> owner_simulation::step()
{
    now_ += step_duration;
    if (!has_ended_faults_ && chance(options_.fault_fraction))
    {
        begin_fault();
    }
    if (!has_ended_faults_)
    {
        change_drain();
    }
    keep_copy();
    if (!has_ended_faults_ && chance(options_.restore_fraction))
    {
        restore_store();
    }
    std::vector<event> due = take_due(events_);
    std::shuffle(due.begin(), due.end(), random_);
    for (const event& it : due)
    {
        it.action();
    }
    if (lease_holder_ && now_ >= lease_until_ && now_ >= store_unavailable_until_)
    {
        lease_holder_.reset();
    }
    deliver_statements();
    for (const event& it : take_due(events_aside_))
    {
        it.action();
    }
    for (server& it : servers_)
    {
        beat(it);
    }
    for (std::size_t n = 0; n < assigners_.size(); ++n)
    {
        if (now_ >= assigners_[n].frozen_until)
        {
            run_assigner(n);
        }
    }
    return check_invariants();
}

void owner_simulation::resign(std::size_t n)
{
    assigner& it = assigners_[n];
    if (const std::optional<assigner_term_end> said = it.role->term_end(now_))
    {
        it.term_end = said;
        it.term_ended_at = now_;
    }
    it.role.reset();
}

// Sends the statement about the assigner's last term to each of the others, which may get
// it long after.
void owner_simulation::tell_successor(std::size_t n)
{
    std::uniform_real_distribution<double> any(0, 1);
    const assigner& from = assigners_[n];
    if (!from.term_end || any(statement_random_) > 0.1)
    {
        return;
    }
    assigner_term_end said = *from.term_end;
    const duration since = now_ - from.term_ended_at;
    said.grants_left = std::max(duration::zero(), said.grants_left - since);
    said.unanswered_grants_left =
        std::max(duration::zero(), said.unanswered_grants_left - since);
    if (any(statement_random_) < options_.lost_statements)
    {
        return;
    }
    constexpr double longest_delay_s = 3;
    const std::chrono::duration<double> delay(longest_delay_s * any(statement_random_));
    statements_under_way_.push_back(
        {now_ + std::chrono::duration_cast<duration>(delay), said});
}

// A server writes its entry at once while it is new to the store, and with each
// heartbeat.
void owner_simulation::beat(server& it)
{
    const bool is_due = !options_.has_bounds || now_ >= it.next_heartbeat_at;
    const bool is_cut_off = now_ < store_unavailable_until_ || now_ < it.cut_off_until;
    if (!it.is_up || !is_due || is_cut_off)
    {
        return;
    }
    it.written_entry = it.entry;
    it.next_heartbeat_at = now_ + heartbeat_period;
}

// A write without an answer may take effect seconds later.
void owner_simulation::state_bound(std::size_t n)
{
    assigner& it = assigners_[n];
    const std::optional<grant_bound> bound =
        options_.has_bounds ? it.role->next_bound(now_) : std::nullopt;
    if (!bound || !is_store_reachable(it))
    {
        return;
    }
    const bool is_late = any_fraction() < options_.late_fraction;
    const duration longest = is_late ? duration(seconds(4)) : max_aside_latency;
    const auto delay =
        duration(static_cast<duration::rep>(any_fraction() * longest.count()));
    schedule_aside(delay,
                   [this, n, bound = *bound, role = it.role.get(), is_late]
                   {
                       bound_ = bound;
                       assigner& writer = assigners_[n];
                       if (!is_late && writer.role.get() == role)
                       {
                           writer.role->bound_written(bound);
                       }
                   });
}

void owner_simulation::count_proof(assigner& it)
{
    const bool has_proof = it.role && it.role->has_proved_bound();
    proved_bounds_ += has_proof && !it.had_proof ? 1 : 0;
    it.had_proof = has_proof;
}

// The process that was restarted tells the others that it was not running before.
void owner_simulation::tell_restart(std::size_t n)
{
    assigner& it = assigners_[n];
    const bool is_predecessor = record_.writer == instance_id(it.name) && !it.role;
    if (!options_.has_bounds || !it.restarted_at || !is_predecessor ||
        !is_store_reachable(it) || any_fraction() > 0.1)
    {
        return;
    }
    constexpr double longest_delay_s = 3;
    const std::chrono::duration<double> delay(longest_delay_s * any_fraction());
    schedule_aside(std::chrono::duration_cast<duration>(delay),
                   [this,
                    said = assigner_restart{instance_id(it.name),
                                            record_.version.term,
                                            now_ - *it.restarted_at}]
                   {
                       for (assigner& to : assigners_)
                       {
                           const bool is_taken =
                               to.role && to.role->predecessor_restarted(said, now_);
                           restarts_ += is_taken ? 1 : 0;
                       }
                   });
}

void owner_simulation::deliver_statements()
{
    std::erase_if(statements_under_way_,
                  [&](const statement& sent)
                  {
                      if (sent.at > now_)
                      {
                          return false;
                      }
                      for (assigner& to : assigners_)
                      {
                          const bool is_taken =
                              to.role && to.role->predecessor_ended(sent.said, now_);
                          statements_ += is_taken ? 1 : 0;
                      }
                      return true;
                  });
}

void owner_simulation::run_assigner(std::size_t n)
{
    assigner& it = assigners_[n];
    notice_era(n);
    tell_successor(n);
    tell_restart(n);
    if (is_store_reachable(it))
    {
        std::vector<listed_server> listed;
        for (const server& at : servers_)
        {
            if (at.is_listed)
            {
                listed.push_back(at.written_entry);
            }
        }
        it.servers.replace(listed, duration::zero(), now_);
        it.servers.expire(now_);
        read_drains(it);
        // The watch of the lease reports its end with a delay.
        if (it.role && lease_holder_ != n && chance(0.1))
        {
            resign(n);
        }
    }
    if (!it.role)
    {
        try_acquire_lease(n);
        return;
    }
    if (chance(0.1))
    {
        const unsigned hot = 20000 + static_cast<unsigned>(random_() % 100);
        const auto any = static_cast<unsigned>(random_() % (last_shard_key + 1));
        it.role->add_load(service, shard_key{chance(0.5) ? hot : any}, now_);
    }
    if (is_renewal_due(it))
    {
        renew_lease(n);
    }
    assigner_view view;
    view.servers = &it.servers;
    view.keyed_services = {service};
    view.limit = [this](const listed_server& server)
    {
        return limit_of(server);
    };
    view.capacity = [](const service_name&, const listed_server&)
    {
        return 2.0;
    };
    for (const key_order& order : it.role->tick(view, now_))
    {
        send_order(n, order);
    }
    write_record(n);
    if (it.role)
    {
        state_bound(n);
    }
    count_proof(it);
}

void owner_simulation::try_acquire_lease(std::size_t n)
{
    assigner& it = assigners_[n];
    if (lease_holder_ || !is_store_reachable(it) || !chance(0.2))
    {
        return;
    }
    lease_holder_ = n;
    ++lease_epoch_;
    lease_until_ = now_ + options_.assigner.authority_ttl;
    it.record_revision = record_revision_;
    it.role = std::make_unique<key_assigner>(
        options_.assigner, record_, instance_id(it.name), now_, era_, bound_);
    it.restarted_at.reset();
    it.era = era_;
    it.role->lease_renewed(now_);
}

bool owner_simulation::is_renewal_due(assigner& it)
{
    if (options_.renewal_period == duration::zero())
    {
        return chance(0.025);
    }
    const bool is_due = now_ >= it.next_renewal_at;
    it.next_renewal_at = is_due ? now_ + options_.renewal_period : it.next_renewal_at;
    return is_due;
}

void owner_simulation::renew_lease(std::size_t n)
{
    const time_point sent_at = now_;
    const key_assigner* role = assigners_[n].role.get();
    schedule(random_duration(milliseconds(0), milliseconds(50)),
             [this, n, sent_at, role]
             {
                 assigner& it = assigners_[n];
                 const bool is_current = it.era == era_ && it.role.get() == role;
                 if (!is_store_reachable(it) || lease_holder_ != n || !is_current)
                 {
                     return;
                 }
                 lease_until_ = now_ + options_.assigner.authority_ttl;
                 it.role->lease_renewed(sent_at);
             });
}

void owner_simulation::write_record(std::size_t n)
{
    assigner& it = assigners_[n];
    const std::optional<key_assignment> wanted = it.role->next_record(now_);
    if (!wanted)
    {
        return;
    }
    const std::uint64_t expected_revision = it.record_revision;
    const key_assigner* role = it.role.get();
    const store_era sent_in = it.era;
    const bool is_request_lost = !is_store_reachable(it);
    schedule(
        random_duration(milliseconds(0), milliseconds(60)),
        [this, n, expected_revision, role, sent_in, wanted = *wanted, is_request_lost]
        {
            assigner& writer = assigners_[n];
            const bool is_same_role = writer.role.get() == role && writer.era == sent_in;
            if (is_request_lost)
            {
                if (is_same_role)
                {
                    writer.role->record_not_written();
                }
                return;
            }
            if (sent_in != era_)
            {
                return; // each era has a record of its own
            }
            if (expected_revision != record_revision_)
            {
                if (is_same_role)
                {
                    resign(n);
                }
                return;
            }
            record_ = wanted;
            ++record_revision_;
            if (is_same_role)
            {
                writer.record_revision = record_revision_;
                writer.role->record_written(now_);
            }
        });
}

void owner_simulation::send_order(std::size_t n, const key_order& order)
{
    const auto to = static_cast<std::size_t>(
        std::find_if(servers_.begin(),
                     servers_.end(),
                     [&](const server& it) { return it.entry.id == order.server; }) -
        servers_.begin());
    const key_assigner* role = assigners_[n].role.get();
    auto answer = [this, n, role, id = order.id](order_result got)
    {
        assigner& it = assigners_[n];
        if (it.role.get() == role)
        {
            it.role->order_ended(id, got, now_);
        }
    };
    const bool is_unreachable = assigners_[n].unreachable_server == to ||
                                !servers_[to].is_up || now_ < servers_[to].cut_off_until;
    if (is_unreachable)
    {
        const bool is_sent = chance(0.5);
        schedule(order.timeout,
                 [answer, is_sent] {
                     answer({is_sent ? order_end::no_answer : order_end::not_sent, {}});
                 });
        return;
    }
    const duration latency = random_duration(milliseconds(0), milliseconds(30));
    const time_point arrived_at = now_ + latency;
    if (!has_ended_faults_ && chance(options_.late_fraction))
    {
        schedule(latency,
                 [this, to, order, arrived_at]
                 {
                     // An order that is still pending when its server ends is lost.
                     schedule(random_duration(seconds(2), seconds(12)),
                              [this,
                               to,
                               order,
                               arrived_at,
                               incarnation = servers_[to].entry.incarnation]
                              {
                                  if (servers_[to].entry.incarnation == incarnation)
                                  {
                                      execute_late(servers_[to], order, arrived_at);
                                  }
                              });
                 });
        schedule(order.timeout, [answer] { answer({order_end::no_answer, {}}); });
        return;
    }
    schedule(latency,
             [this, to, order, arrived_at, answer]
             {
                 const order_result got = execute_order(servers_[to], order, arrived_at);
                 schedule(random_duration(milliseconds(0), milliseconds(100)),
                          [answer, got] { answer(got); });
             });
}

order_result
owner_simulation::execute_order(server& to, const key_order& order, time_point arrived_at)
{
    if (!to.is_up)
    {
        return {order_end::no_answer, {}};
    }
    const bool is_grant = order.kind == order_kind::grant;
    if (is_grant && chance(options_.rejected_fraction))
    {
        return {order_end::rejected, {}};
    }
    for (const held_range& it : to.accepted_epochs)
    {
        if (overlap(it.keys, order.keys) && it.at > order.at)
        {
            return {is_grant ? order_end::stale : order_end::accepted, {}};
        }
    }
    to.accepted_epochs.push_back({order.keys, order.at, {}});
    std::vector<held_range> kept;
    for (const held_range& it : to.held_ranges)
    {
        if (!overlap(it.keys, order.keys))
        {
            kept.push_back(it);
            continue;
        }
        if (it.keys.first < order.keys.first)
        {
            kept.push_back({{it.keys.first, order.keys.first - 1}, it.at, it.until});
        }
        if (it.keys.last > order.keys.last)
        {
            kept.push_back({{order.keys.last + 1, it.keys.last}, it.at, it.until});
        }
    }
    to.held_ranges = kept;
    if (!is_grant)
    {
        return {order_end::accepted, "state"};
    }
    hold(to, order, arrived_at);
    return {order_end::accepted, {}};
}

// A grant without an answer may be carried out after newer orders, whatever epochs the
// server has seen meanwhile.
void owner_simulation::execute_late(server& to,
                                    const key_order& order,
                                    time_point arrived_at)
{
    if (order.kind == order_kind::release)
    {
        execute_order(to, order, arrived_at);
        return;
    }
    if (to.is_up)
    {
        hold(to, order, arrived_at);
    }
}

void owner_simulation::hold(server& at, const key_order& order, time_point arrived_at)
{
    const auto slow_hold_time =
        static_cast<double>(order.hold_time.count()) * (1 + options_.drift);
    const time_point until =
        arrived_at + duration(static_cast<duration::rep>(slow_hold_time));
    if (until <= now_)
    {
        return; // the grant expired before it was carried out
    }
    at.held_ranges.push_back({order.keys, order.at, until});
    ++grants_;
    track_owner(at, order);
}

void owner_simulation::track_owner(const server& at, const key_order& order)
{
    const unsigned first = (order.keys.first + tracked_key_spacing - 1) /
                           tracked_key_spacing * tracked_key_spacing;
    for (unsigned key = first; key <= order.keys.last; key += tracked_key_spacing)
    {
        const std::pair<server_id, epoch> next{at.entry.id, order.at};
        auto [it, is_new] = last_owner_.try_emplace(key, next);
        if (is_new || it->second.first == at.entry.id)
        {
            it->second.second = std::max(it->second.second, order.at);
            continue;
        }
        if (order.at <= it->second.second)
        {
            violation_ = "key " + std::to_string(key) + " moved to " + at.entry.id.str() +
                         " with an epoch that is not above the previous one";
        }
        ++moves_;
        it->second = next;
    }
}

std::optional<std::string> owner_simulation::check_invariants()
{
    for (std::size_t a = 0; a < servers_.size(); ++a)
    {
        server& one = servers_[a];
        std::erase_if(one.held_ranges,
                      [&](const held_range& it) { return it.until <= now_; });
        for (std::size_t b = 0; b < a; ++b)
        {
            for (const held_range& x : one.held_ranges)
            {
                for (const held_range& y : servers_[b].held_ranges)
                {
                    if (overlap(x.keys, y.keys))
                    {
                        return "keys from " +
                               std::to_string(std::max(x.keys.first, y.keys.first)) +
                               " are held by " + one.entry.id.str() + " and " +
                               servers_[b].entry.id.str();
                    }
                }
            }
        }
    }
    return violation_;
}

unsigned owner_simulation::held_keys() const
{
    unsigned sum = 0;
    for (const server& it : servers_)
    {
        for (const held_range& held : it.held_ranges)
        {
            sum += held.keys.width();
        }
    }
    return sum;
}

std::optional<double> owner_simulation::limit_of(const listed_server& server) const
{
    constexpr duration period = seconds(20);
    constexpr double limit = 2; // requests a second
    const bool is_limited_now = now_.time_since_epoch() % period < period / 2;
    const auto end = servers_.begin() + options_.limited_servers;
    const bool names_limit = std::any_of(
        servers_.begin(), end, [&](const auto& it) { return it.entry.id == server.id; });
    return is_limited_now && names_limit ? std::optional(limit) : std::nullopt;
}

} // namespace camphorrock::testing
