#include "core/gateway/testing/owner_world.hpp"

#include <algorithm>
#include <functional>

namespace camphorrock::testing
{
namespace
{

constexpr duration tick = milliseconds(10);
constexpr unsigned grid = 512; // keys between two that are followed one by one

const service_name service("valves");

bool overlap(const shard_key_range& a, const shard_key_range& b)
{
    return a.first <= b.last && b.first <= a.last;
}

} // namespace

owner_world::owner_world(owner_world_options options, std::uint64_t seed)
    : options_(options), random_(seed)
{
    for (unsigned n = 0; n < options_.servers; ++n)
    {
        server made;
        made.entry.id = server_id("s" + std::to_string(n));
        made.entry.life.started_ms = 1;
        made.entry.service = service;
        made.entry.slots = 3;
        servers_.push_back(made);
    }
    for (unsigned n = 0; n < options_.assigners; ++n)
    {
        assigner made;
        made.name = "g" + std::to_string(n);
        assigners_.push_back(std::move(made));
    }
}

bool owner_world::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

duration owner_world::drawn(duration from, duration to)
{
    return duration(
        std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random_));
}

void owner_world::later(duration delay, std::function<void()> what)
{
    events_.push_back({now_ + delay, ++last_event_, std::move(what)});
}

void owner_world::calm()
{
    is_calm_ = true;
    store_down_until_ = now_;
    for (assigner& it : assigners_)
    {
        it.frozen_until = now_;
        it.cut_until = now_;
        it.cut_server.reset();
    }
    for (server& it : servers_)
    {
        it.is_listed = it.is_up;
        it.entry.is_draining = false;
    }
}

void owner_world::begin_fault()
{
    assigner& some = assigners_[random_() % assigners_.size()];
    server& at = servers_[random_() % servers_.size()];
    switch (random_() % 8)
    {
    case 0:
        some.frozen_until = now_ + drawn(milliseconds(100), seconds(4));
        break;
    case 1:
        some.cut_until = now_ + drawn(milliseconds(500), seconds(6));
        break;
    case 2:
        store_down_until_ = now_ + drawn(milliseconds(500), seconds(9));
        break;
    case 3: // the process is killed and starts anew
        some.role.reset();
        break;
    case 4: // the server crashes; it starts anew under its id, or its entry lapses
        at.is_up = false;
        at.holds.clear();
        at.seen.clear();
        later(milliseconds(2600), [&at] { at.is_listed = at.is_up; });
        later(drawn(milliseconds(500), seconds(6)),
              [&at]
              {
                  at.is_up = true;
                  at.is_listed = true;
                  ++at.entry.life.started_ms;
              });
        break;
    case 5:
        some.cut_server = random_() % servers_.size();
        later(drawn(milliseconds(500), seconds(5)), [&some] { some.cut_server.reset(); });
        break;
    case 6:
        at.entry.is_draining = true;
        later(drawn(seconds(1), seconds(5)), [&at] { at.entry.is_draining = false; });
        break;
    case 7: // the lease is taken away before its time
        holder_until_ = now_;
        break;
    }
}

bool owner_world::is_store_reached(const assigner& it) const
{
    return now_ >= store_down_until_ && now_ >= it.cut_until;
}

std::optional<std::string> owner_world::step()
{
    now_ += tick;
    if (!is_calm_ && chance(options_.fault_share))
    {
        begin_fault();
    }
    std::vector<event> due;
    std::erase_if(events_,
                  [&](const event& it)
                  {
                      const bool is_due = it.at <= now_;
                      if (is_due)
                      {
                          due.push_back(it);
                      }
                      return is_due;
                  });
    std::shuffle(due.begin(), due.end(), random_);
    for (const event& it : due)
    {
        it.what();
    }
    if (holder_ && now_ >= holder_until_ && now_ >= store_down_until_)
    {
        holder_.reset();
    }
    for (std::size_t n = 0; n < assigners_.size(); ++n)
    {
        if (now_ >= assigners_[n].frozen_until)
        {
            run_assigner(n);
        }
    }
    return check();
}

void owner_world::run_assigner(std::size_t n)
{
    assigner& it = assigners_[n];
    if (is_store_reached(it))
    {
        std::vector<listed_server> listed;
        for (const server& at : servers_)
        {
            if (at.is_listed)
            {
                listed.push_back(at.entry);
            }
        }
        it.servers.replace(listed, duration::zero(), now_);
        it.servers.expire(now_);
        // The watch of the lease tells of its end a while later.
        if (it.role && holder_ != n && chance(0.1))
        {
            it.role.reset();
        }
    }
    if (!it.role)
    {
        stand(n);
        return;
    }
    if (chance(0.1))
    {
        const unsigned hot = 20000 + static_cast<unsigned>(random_() % 100);
        const auto any = static_cast<unsigned>(random_() % (last_shard_key + 1));
        it.role->add_load(service, shard_key{chance(0.5) ? hot : any}, now_);
    }
    if (chance(0.025))
    {
        renew(n);
    }
    assigner_view view;
    view.servers = &it.servers;
    view.keyed_services = {service};
    view.capacity = [](const service_name&, const listed_server&)
    {
        return 2.0;
    };
    for (const key_order& order : it.role->tick(view, now_))
    {
        send(n, order);
    }
    write(n);
}

void owner_world::stand(std::size_t n)
{
    assigner& it = assigners_[n];
    if (holder_ || !is_store_reached(it) || !chance(0.2))
    {
        return;
    }
    holder_ = n;
    ++holder_epoch_;
    holder_until_ = now_ + options_.assigner.authority_ttl;
    it.record_revision = revision_;
    it.role = std::make_unique<key_assigner>(
        options_.assigner, record_, instance_id(it.name), now_);
    it.role->confirmed(now_);
}

void owner_world::renew(std::size_t n)
{
    const time_point sent = now_;
    const key_assigner* role = assigners_[n].role.get();
    later(drawn(milliseconds(0), milliseconds(50)),
          [this, n, sent, role]
          {
              assigner& it = assigners_[n];
              if (!is_store_reached(it) || holder_ != n || it.role.get() != role)
              {
                  return;
              }
              holder_until_ = now_ + options_.assigner.authority_ttl;
              it.role->confirmed(sent);
          });
}

void owner_world::write(std::size_t n)
{
    assigner& it = assigners_[n];
    const std::optional<key_assignment> wanted = it.role->next_record(now_);
    if (!wanted)
    {
        return;
    }
    const std::uint64_t expected = it.record_revision;
    const key_assigner* role = it.role.get();
    const bool is_lost = !is_store_reached(it);
    later(drawn(milliseconds(0), milliseconds(60)),
          [this, n, expected, role, wanted = *wanted, is_lost]
          {
              assigner& writer = assigners_[n];
              const bool is_same = writer.role.get() == role;
              if (is_lost)
              {
                  if (is_same)
                  {
                      writer.role->record_not_written();
                  }
                  return;
              }
              if (expected != revision_)
              {
                  if (is_same)
                  {
                      writer.role.reset();
                  }
                  return;
              }
              record_ = wanted;
              ++revision_;
              if (is_same)
              {
                  writer.record_revision = revision_;
                  writer.role->record_written(now_);
              }
          });
}

void owner_world::send(std::size_t n, const key_order& order)
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
    const bool is_cut = assigners_[n].cut_server == to || !servers_[to].is_up;
    if (is_cut)
    {
        const bool is_sent = chance(0.5);
        later(order.timeout,
              [answer, is_sent] {
                  answer({is_sent ? order_end::no_answer : order_end::not_sent, {}});
              });
        return;
    }
    const duration way = drawn(milliseconds(0), milliseconds(30));
    const time_point arrived = now_ + way;
    if (!is_calm_ && chance(options_.late_share))
    {
        later(way,
              [this, to, order, arrived]
              {
                  // What a server has not carried out when it ends is lost with it.
                  later(drawn(seconds(2), seconds(12)),
                        [this, to, order, arrived, life = servers_[to].entry.life]
                        {
                            if (servers_[to].entry.life == life)
                            {
                                carry_out(servers_[to], order, arrived);
                            }
                        });
              });
        later(order.timeout, [answer] { answer({order_end::no_answer, {}}); });
        return;
    }
    later(way,
          [this, to, order, arrived, answer]
          {
              const order_result got = carry_out(servers_[to], order, arrived);
              later(drawn(milliseconds(0), milliseconds(100)),
                    [answer, got] { answer(got); });
          });
}

order_result
owner_world::carry_out(server& to, const key_order& order, time_point arrived)
{
    if (!to.is_up)
    {
        return {order_end::no_answer, {}};
    }
    const bool is_grant = order.kind == order_kind::grant;
    for (const hold& it : to.seen)
    {
        if (overlap(it.keys, order.keys) && it.at > order.at)
        {
            return {is_grant ? order_end::stale : order_end::accepted, {}};
        }
    }
    to.seen.push_back({order.keys, order.at, {}});
    std::vector<hold> kept;
    for (const hold& it : to.holds)
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
    to.holds = kept;
    if (!is_grant)
    {
        return {order_end::accepted, "state"};
    }
    const auto slow = static_cast<double>(order.hold.count()) * (1 + options_.drift);
    const time_point until = arrived + duration(static_cast<duration::rep>(slow));
    if (until <= now_)
    {
        return {order_end::accepted, {}}; // it came too late to give anything
    }
    to.holds.push_back({order.keys, order.at, until});
    ++grants_;
    note_owner(to, order);
    return {order_end::accepted, {}};
}

void owner_world::note_owner(const server& at, const key_order& order)
{
    const unsigned first = (order.keys.first + grid - 1) / grid * grid;
    for (unsigned key = first; key <= order.keys.last; key += grid)
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
            violation_ = "key " + std::to_string(key) + " came to " + at.entry.id.str() +
                         " with an epoch that is not above the last";
        }
        ++moves_;
        it->second = next;
    }
}

std::optional<std::string> owner_world::check()
{
    for (std::size_t a = 0; a < servers_.size(); ++a)
    {
        server& one = servers_[a];
        std::erase_if(one.holds, [&](const hold& it) { return it.until <= now_; });
        for (std::size_t b = 0; b < a; ++b)
        {
            for (const hold& x : one.holds)
            {
                for (const hold& y : servers_[b].holds)
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

unsigned owner_world::held_keys() const
{
    unsigned sum = 0;
    for (const server& it : servers_)
    {
        for (const hold& held : it.holds)
        {
            sum += held.keys.width();
        }
    }
    return sum;
}

} // namespace camphorrock::testing
