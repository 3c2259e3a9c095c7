#include "core/gateway/key_assigner.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration authority_margin = milliseconds(50);
constexpr duration release_pause = milliseconds(200); // before a release is repeated
constexpr duration regrant_pause = milliseconds(50);  // after an accepted grant
constexpr duration silent_pause = milliseconds(250);  // before a silent server is tried
constexpr std::uint64_t epochs_to_spare = 100;        // below it, a record is written

} // namespace

key_assigner::key_assigner(key_assigner_options options,
                           const key_assignment& record,
                           instance_id self,
                           time_point now)
    : options_(options), self_(std::move(self)), version_{record.version.term + 1,
                                                          record.version.change + 1},
      next_epoch_{std::max<std::uint64_t>(record.limit.value, 1)},
      epoch_limit_{next_epoch_.value + options.epoch_block},
      predecessor_until_(now + options.authority_ttl + with_drift(options.long_hold))
{
    for (const service_shares& service : record.services)
    {
        keyed_service& row = service_row(service.service);
        for (const key_share& share : service.shares)
        {
            held_share made;
            made.share = share;
            made.share.is_moving = false;
            made.held_until = predecessor_until_;
            made.held_before = predecessor_until_;
            made.last_accepted = now;
            row.shares.push_back(std::move(made));
        }
    }
}

void key_assigner::confirmed(time_point sent)
{
    confirmed_ = std::max(confirmed_.value_or(sent), sent);
}

bool key_assigner::has_authority(time_point now) const
{
    return confirmed_ && now < *confirmed_ + options_.authority_ttl - authority_margin;
}

key_assigner::keyed_service& key_assigner::service_row(const service_name& name)
{
    for (keyed_service& it : services_)
    {
        if (it.name == name)
        {
            return it;
        }
    }
    keyed_service& made = services_.emplace_back();
    made.name = name;
    return made;
}

void key_assigner::add_load(const service_name& service, shard_key key, time_point now)
{
    service_row(service).load.add(key, now);
}

void key_assigner::not_owned(const service_name& service, shard_key key, time_point now)
{
    for (held_share& it : service_row(service).shares)
    {
        const bool is_due = it.share.keys.contains(key) && !it.target &&
                            now - it.last_accepted > regrant_pause;
        if (is_due)
        {
            it.renew_at = std::min(it.renew_at, now);
        }
    }
}

duration key_assigner::with_drift(duration hold) const
{
    const auto longer = static_cast<double>(hold.count()) * (1.0 + options_.drift);
    return duration(static_cast<duration::rep>(longer)) + options_.margin;
}

duration key_assigner::hold_now(time_point now) const
{
    const bool is_store_away = now - *confirmed_ > options_.store_late;
    return is_store_away ? options_.long_hold : options_.hold;
}

epoch key_assigner::take_epoch()
{
    return epoch{next_epoch_.value++};
}

std::vector<key_order> key_assigner::tick(const assigner_view& view, time_point now)
{
    std::vector<key_order> orders;
    if (!has_authority(now))
    {
        return orders;
    }
    for (const service_name& name : view.keyed_services)
    {
        keyed_service& row = service_row(name);
        const bool may_plan = !writing_ && !is_first_record_ &&
                              next_epoch_.value + epochs_to_spare < epoch_limit_.value;
        if (may_plan)
        {
            plan(row, view, now);
        }
        for (held_share& it : row.shares)
        {
            order_share(row, it, view, now, orders);
        }
    }
    return orders;
}

void key_assigner::order_share(keyed_service& row,
                               held_share& it,
                               const assigner_view& view,
                               time_point now,
                               std::vector<key_order>& orders)
{
    const known_server* owner = view.servers->find(it.share.owner);
    const bool is_due = !it.order && now >= it.renew_at && !is_first_record_;
    if (!is_due || !is_same_life(owner, it.share.life))
    {
        return;
    }
    if (it.target)
    {
        const bool wants_release =
            it.release_at && !it.is_released && it.held_until > now;
        if (wants_release)
        {
            orders.push_back(make_order(row, it, *owner, order_kind::release, now));
        }
        return;
    }
    if (!it.is_stale)
    {
        orders.push_back(make_order(row, it, *owner, order_kind::grant, now));
    }
}

key_order key_assigner::make_order(const keyed_service& row,
                                   held_share& it,
                                   const known_server& owner,
                                   order_kind kind,
                                   time_point now)
{
    key_order made;
    made.id = order_id{++last_order_.value};
    made.kind = kind;
    made.service = row.name;
    made.server = it.share.owner;
    made.address = owner.entry.address;
    made.keys = it.share.keys;
    made.is_fresh = it.is_silent;
    it.order = made.id;
    it.held_before = it.held_until;
    if (kind == order_kind::release)
    {
        made.at = *it.release_at;
        made.timeout = options_.release_timeout;
        it.renew_at = now + release_pause;
    }
    else
    {
        made.at = it.share.at;
        made.hold = hold_now(now);
        made.handover = it.handover;
        made.timeout = options_.order_timeout;
        it.renew_at = now + options_.renew_every;
        const time_point latest = now + made.timeout + with_drift(made.hold);
        it.held_until = std::max(it.held_until, latest);
    }
    orders_[made.id] = {row.name, made};
    return made;
}

key_assigner::held_share* key_assigner::find_order(const sent_order& sent)
{
    for (held_share& it : service_row(sent.service).shares)
    {
        if (it.order == sent.order.id)
        {
            return &it;
        }
    }
    return nullptr;
}

void key_assigner::order_ended(order_id id, const order_result& got, time_point now)
{
    auto found = orders_.find(id);
    if (found == orders_.end())
    {
        return;
    }
    const sent_order sent = found->second;
    orders_.erase(found);
    held_share* it = find_order(sent);
    if (it == nullptr)
    {
        return;
    }
    it->order.reset();
    const bool is_grant = sent.order.kind == order_kind::grant;
    switch (got.end)
    {
    case order_end::accepted:
        it->is_silent = false;
        it->last_accepted = now;
        if (is_grant)
        {
            it->handover.clear();
            it->held_until = std::max(it->held_before, now + with_drift(sent.order.hold));
        }
        else
        {
            it->is_released = true;
            it->handover = got.handover;
        }
        break;
    case order_end::stale:
        it->is_silent = false;
        it->last_accepted = now;
        it->is_stale = is_grant;
        it->held_until = it->held_before;
        break;
    case order_end::other_server:
        it->is_silent = true;
        it->held_until = now;
        it->unsure_until = now;
        it->renew_at = now + silent_pause;
        break;
    case order_end::not_sent:
        it->is_silent = true;
        it->held_until = it->held_before;
        it->renew_at = now + silent_pause;
        break;
    case order_end::no_answer:
        it->is_silent = true;
        it->renew_at = now + (is_grant ? duration::zero() : release_pause);
        it->unsure_until = is_grant ? it->held_until : it->unsure_until;
        break;
    }
}

bool key_assigner::is_ready(const held_share& it, time_point now) const
{
    if (it.is_stale && !it.target)
    {
        return true;
    }
    if (!it.target)
    {
        return false;
    }
    const bool is_same_server = *it.target == it.share.owner;
    const bool is_given_up = it.is_released && now >= it.unsure_until;
    return is_same_server || is_given_up || now >= it.held_until;
}

// A settled share can be joined with its neighbour into one grant.
bool key_assigner::is_settled(const held_share& it) const
{
    return !it.target && !it.is_stale && !it.is_silent && !it.order &&
           !it.share.owner.empty();
}

bool key_assigner::may_join(const held_share& first, const held_share& second) const
{
    return is_settled(first) && is_settled(second) &&
           first.share.owner == second.share.owner &&
           first.share.life == second.share.life &&
           first.share.keys.last + 1 == second.share.keys.first;
}

bool key_assigner::is_record_due(time_point now) const
{
    if (is_first_record_ || next_epoch_.value + epochs_to_spare >= epoch_limit_.value)
    {
        return true;
    }
    for (const keyed_service& row : services_)
    {
        for (const held_share& it : row.shares)
        {
            if (is_ready(it, now))
            {
                return true;
            }
        }
        if (is_join_due(row, now))
        {
            return true;
        }
    }
    return false;
}

bool key_assigner::is_join_due(const keyed_service& row, time_point now) const
{
    if (now < row.join_at)
    {
        return false;
    }
    for (std::size_t n = 1; n < row.shares.size(); ++n)
    {
        if (may_join(row.shares[n - 1], row.shares[n]))
        {
            return true;
        }
    }
    return false;
}

std::optional<key_assignment> key_assigner::next_record(time_point now)
{
    if (writing_ || !has_authority(now) || !is_record_due(now))
    {
        return std::nullopt;
    }
    key_assignment made;
    made.writer = self_;
    for (const keyed_service& row : services_)
    {
        made.services.push_back(next_shares(row, now));
    }
    changed();
    made.version = version_;
    made.limit = epoch{next_epoch_.value + options_.epoch_block};
    writing_ = made;
    return made;
}

service_shares key_assigner::next_shares(const keyed_service& row, time_point now)
{
    service_shares made;
    made.service = row.name;
    const held_share* last = nullptr; // of the share made last
    unsigned parts = 0;               // that it was made of
    for (const held_share& it : row.shares)
    {
        key_share share = it.share;
        share.is_moving = false;
        const bool is_joined =
            !is_first_record_ && last != nullptr && may_join(*last, it);
        last = &it;
        if (is_joined)
        {
            key_share& joined = made.shares.back();
            joined.at = parts == 1 ? take_epoch() : joined.at;
            ++parts;
            joined.keys.last = share.keys.last;
            continue;
        }
        parts = 1;
        if (!is_first_record_ && is_ready(it, now))
        {
            share.owner = it.target.value_or(share.owner);
            share.life = it.target ? it.target_life : share.life;
            share.at = take_epoch();
        }
        if (!share.owner.empty())
        {
            made.shares.push_back(share);
        }
    }
    return made;
}

void key_assigner::record_written(time_point now)
{
    if (!writing_)
    {
        return;
    }
    is_first_record_ = false;
    epoch_limit_ = writing_->limit;
    for (keyed_service& row : services_)
    {
        adopt(row, *writing_->find_service(row.name), now);
    }
    changed();
    writing_.reset();
}

void key_assigner::adopt(keyed_service& row,
                         const service_shares& written,
                         time_point now)
{
    std::vector<held_share> adopted;
    for (held_share& it : row.shares)
    {
        const bool is_joined =
            !adopted.empty() && adopted.back().share.keys.contains({it.share.keys.first});
        if (is_joined)
        {
            join(adopted.back(), it);
            continue;
        }
        adopted.push_back(std::move(it));
        for (const key_share& share : written.shares)
        {
            if (share.keys.first == adopted.back().share.keys.first)
            {
                adopt(adopted.back(), share, now);
            }
        }
    }
    row.shares = std::move(adopted);
    row.join_at = now + options_.join_every;
}

void key_assigner::adopt(held_share& it, const key_share& written, time_point now)
{
    if (written.at == it.share.at)
    {
        return;
    }
    const bool is_other = written.owner != it.share.owner;
    it.unsure_until = it.order ? it.held_until : it.unsure_until;
    it.share = written;
    it.target.reset();
    it.release_at.reset();
    it.is_released = false;
    it.is_stale = false;
    it.is_silent = false;
    it.order.reset();
    it.renew_at = now;
    it.moved_at = now;
    it.last_accepted = now;
    if (is_other)
    {
        it.held_until = {};
        it.held_before = {};
        it.unsure_until = {};
    }
}

// What may be in force for a part may be in force for the whole.
void key_assigner::join(held_share& whole, const held_share& part)
{
    whole.held_until = std::max(whole.held_until, part.held_until);
    const time_point unsure = part.order ? part.held_until : part.unsure_until;
    whole.unsure_until = std::max(whole.unsure_until, unsure);
}

void key_assigner::record_not_written()
{
    writing_.reset();
}

key_assignment key_assigner::published() const
{
    key_assignment made;
    made.version = version_;
    made.writer = self_;
    made.limit = epoch_limit_;
    for (const keyed_service& row : services_)
    {
        service_shares& shares = made.services.emplace_back();
        shares.service = row.name;
        for (const held_share& it : row.shares)
        {
            if (it.share.owner.empty())
            {
                continue;
            }
            shares.shares.push_back(it.share);
            shares.shares.back().is_moving = it.target && it.release_at && !it.is_silent;
        }
    }
    return made;
}

} // namespace camphorrock
