#include "gateway/assigner_role.hpp"

#include "codec/key_messages.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

const std::string holder_key = "camphorrock/assigner";

constexpr duration renew_period = milliseconds(400);
constexpr duration tick_period = milliseconds(50);
constexpr duration retry_pause = milliseconds(200);
constexpr int stand_spread_ms = 120;       // so that few gateways stand at once
constexpr int weak_delay_ms = 200;         // for the stronger gateways to stand first
constexpr duration weak_term = seconds(2); // then a weak one has heard of the others

key_assigner_options options_of(const gateway_settings& settings)
{
    key_assigner_options options;
    options.long_hold = settings.longest_hold * 98 / 100;
    return options;
}

} // namespace

assigner_role::assigner_role(assigner_role_parts parts,
                             std::function<void(const key_assignment&)> on_published,
                             std::function<void()> on_holder)
    : parts_(parts), on_published_(std::move(on_published)),
      on_holder_(std::move(on_holder))
{
    reader_ = std::make_unique<store_reader>(
        parts_.loop,
        parts_.store,
        holder_key,
        [this](const std::vector<store_entry>& all) { holder_read(all); },
        [this](const std::vector<store_entry>& changes) { holder_changed(changes); });
    // What the servers or the configuration now say may need new orders.
    parts_.state.on_change([this] { tick_soon(); });
}

assigner_role::~assigner_role() = default;

void assigner_role::holder_read(const std::vector<store_entry>& entries)
{
    if (entries.empty())
    {
        no_holder();
        return;
    }
    set_holder(entries.front());
}

void assigner_role::holder_changed(const std::vector<store_entry>& changes)
{
    const store_entry& last = changes.back();
    if (last.revision.value == 0)
    {
        no_holder();
        return;
    }
    set_holder(last);
}

void assigner_role::set_holder(const store_entry& entry)
{
    const assigner_holder read =
        value_or_handle([&] { return parse_assigner_holder(entry.value); },
                        [](const error&) { return assigner_holder(); });
    stand_timer_.reset();
    holder_ = read.peer;
    holder_revision_ = entry.revision;
    const bool is_other = read.id != parts_.state.settings().id;
    if (is_other)
    {
        is_own_ = false;
        resign("another gateway holds the role");
    }
    on_holder_();
}

void assigner_role::no_holder()
{
    holder_.reset();
    if (is_own_)
    {
        is_own_ = false;
        resign("the lease has ended");
    }
    on_holder_();
    stand_later();
}

void assigner_role::stand_later()
{
    if (is_leaving_ || is_standing_ || holder_)
    {
        return;
    }
    const auto spread = static_cast<int>(parts_.state.random()() % stand_spread_ms);
    const int delay = parts_.state.has_stronger_gateway() ? weak_delay_ms : 0;
    stand_timer_ = parts_.loop.after(milliseconds(spread + delay), [this] { stand(); });
}

void assigner_role::stand()
{
    stand_timer_.reset();
    if (is_leaving_ || is_standing_ || holder_ || !reader_->is_read())
    {
        return;
    }
    is_standing_ = true;
    lease_sent_ = parts_.loop.now();
    parts_.store.grant_lease(
        key_assigner_options().authority_ttl,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_lease_grant& got)
        {
            if (!alive.expired())
            {
                on_lease(got);
            }
        });
}

void assigner_role::give_up_standing()
{
    is_standing_ = false;
    retry_timer_ = parts_.loop.after(retry_pause, [this] { stand_later(); });
}

void assigner_role::on_lease(const store_lease_grant& got)
{
    if (got.end != store_end::done || holder_ || is_leaving_)
    {
        give_up_standing();
        return;
    }
    lease_ = got.lease;
    const gateway_settings& settings = parts_.state.settings();
    parts_.store.compare_and_swap(
        holder_key,
        store_revision{},
        assigner_holder_text({settings.id, settings.peer}),
        lease_,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_write& got)
        {
            if (!alive.expired())
            {
                on_holder_write(got);
            }
        });
}

void assigner_role::on_holder_write(const store_write& got)
{
    if (got.end == store_end::done)
    {
        won();
        return;
    }
    if (got.end == store_end::unknown)
    {
        read_back_holder();
        return;
    }
    give_up_standing();
}

// The key may be there under this gateway's lease, which it alone has.
void assigner_role::read_back_holder()
{
    parts_.store.get(
        holder_key,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
        {
            if (alive.expired())
            {
                return;
            }
            if (got.end != store_end::done)
            {
                give_up_standing();
                return;
            }
            const bool is_ours = !got.entries.empty() &&
                                 got.entries.front().value ==
                                     assigner_holder_text({parts_.state.settings().id,
                                                           parts_.state.settings().peer});
            if (is_ours)
            {
                won();
                return;
            }
            give_up_standing();
        });
}

void assigner_role::won()
{
    is_standing_ = false;
    is_own_ = true;
    holder_ = parts_.state.settings().peer;
    on_holder_();
    renew_timer_ = parts_.loop.every(renew_period, [this] { renew(); });
    parts_.store.get(
        keys_record_key,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
        {
            if (!alive.expired())
            {
                on_record(got);
            }
        });
}

void assigner_role::on_record(const store_read& got)
{
    if (!is_own_)
    {
        return;
    }
    if (got.end != store_end::done)
    {
        retry_timer_ = parts_.loop.after(retry_pause, [this] { won(); });
        return;
    }
    if (got.entries.empty())
    {
        begin({}, {});
        return;
    }
    const std::optional<key_assignment> record = value_or_handle(
        [&]() -> result<std::optional<key_assignment>>
        { return parse_key_assignment(got.entries.front().value); },
        [&](const error& ec)
        {
            parts_.log.events().write(event_id::record_unreadable, {{"text", ec.text}});
            return std::optional<key_assignment>();
        });
    if (record)
    {
        begin(*record, got.entries.front().revision);
    }
}

void assigner_role::begin(const key_assignment& record, store_revision at)
{
    const gateway_settings& settings = parts_.state.settings();
    const time_point now = parts_.loop.now();
    record_revision_ = at;
    published_ = 0;
    written_.reset();
    assigner_ =
        std::make_unique<key_assigner>(options_of(settings), record, settings.id, now);
    assigner_->confirmed(lease_sent_);
    parts_.log.events().write(
        event_id::keys_elected,
        {{"term", record.version.term + 1}, {"record_revision", at.value}});
    tick_timer_ = parts_.loop.every(tick_period, [this] { tick(); });
    weak_timer_ = parts_.loop.every(weak_term, [this] { hand_over_if_weak(); });
    tick();
}

// The role is given up once the store has ended the lease, as its news tells: where the
// store does not answer, no other gateway could take it.
void assigner_role::hand_over_if_weak()
{
    if (is_own_ && parts_.state.has_stronger_gateway())
    {
        parts_.log.events().write(event_id::keys_handed_over,
                                  {{"reason", "a stronger gateway is there"}});
        parts_.store.revoke_lease(lease_, [](const store_lease_grant&) {});
    }
}

void assigner_role::renew()
{
    if (is_renewing_)
    {
        return;
    }
    is_renewing_ = true;
    const time_point sent = parts_.loop.now();
    parts_.store.keep_alive(lease_,
                            [this, sent, alive = std::weak_ptr<const bool>(alive_)](
                                const store_lease_grant& got)
                            {
                                if (alive.expired())
                                {
                                    return;
                                }
                                is_renewing_ = false;
                                if (got.end == store_end::done && is_own_)
                                {
                                    lease_sent_ = sent;
                                    if (assigner_)
                                    {
                                        assigner_->confirmed(sent);
                                    }
                                }
                            });
}

void assigner_role::tick_soon()
{
    if (assigner_ && !is_tick_posted_)
    {
        is_tick_posted_ = true;
        parts_.loop.post(
            [this, alive = std::weak_ptr<const bool>(alive_)]
            {
                if (!alive.expired())
                {
                    is_tick_posted_ = false;
                    tick();
                }
            });
    }
}

void assigner_role::tick()
{
    if (!assigner_)
    {
        return;
    }
    assigner_view view;
    view.servers = &parts_.state.servers();
    view.keyed_services = parts_.state.keyed_services();
    view.capacity = [this](const service_name& service, const listed_server& server)
    {
        const service_state* it = parts_.state.find_service(service);
        return it == nullptr ? 1.0 : it->pool.capacity(server.id);
    };
    for (const key_order& order : assigner_->tick(view, parts_.loop.now()))
    {
        parts_.orders.send(order,
                           [this, order, alive = std::weak_ptr<const bool>(alive_)](
                               const order_result& got)
                           {
                               if (!alive.expired() && assigner_)
                               {
                                   parts_.log.order_ended(order, got);
                                   assigner_->order_ended(
                                       order.id, got, parts_.loop.now());
                                   tick_soon();
                               }
                           });
    }
    write_record();
    publish();
}

void assigner_role::write_record()
{
    if (written_)
    {
        return;
    }
    written_ = assigner_->next_record(parts_.loop.now());
    if (!written_)
    {
        return;
    }
    parts_.store.compare_and_swap(
        keys_record_key,
        record_revision_,
        key_assignment_text(*written_),
        store_lease{},
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_write& got)
        {
            if (!alive.expired() && assigner_)
            {
                on_record_write(got);
            }
        });
}

void assigner_role::on_record_write(const store_write& got)
{
    switch (got.end)
    {
    case store_end::done:
        record_revision_ = got.revision;
        parts_.log.events().write(event_id::keys_written,
                                  {{"term", written_->version.term},
                                   {"change", written_->version.change},
                                   {"revision", got.revision.value}});
        written_.reset();
        assigner_->record_written(parts_.loop.now());
        tick_soon();
        return;
    case store_end::conflict:
    case store_end::unknown:
        read_back_record();
        return;
    case store_end::failed:
        written_.reset();
        assigner_->record_not_written();
        return;
    }
}

// The write may have taken effect, or may still: its text tells.
void assigner_role::read_back_record()
{
    parts_.store.get(
        keys_record_key,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
        {
            if (alive.expired() || !assigner_)
            {
                return;
            }
            if (got.end != store_end::done)
            {
                retry_timer_ = parts_.loop.after(retry_pause,
                                                 [this]
                                                 {
                                                     if (assigner_)
                                                     {
                                                         read_back_record();
                                                     }
                                                 });
                return;
            }
            const store_revision at =
                got.entries.empty() ? store_revision{} : got.entries.front().revision;
            const std::string text = key_assignment_text(*written_);
            const bool is_written =
                !got.entries.empty() && got.entries.front().value == text;
            if (is_written)
            {
                on_record_write({store_end::done, at, {}});
                return;
            }
            if (at != record_revision_)
            {
                resign("another gateway wrote the record");
                return;
            }
            // It may still be carried out. Writing the same text again decides it: one of
            // the two takes effect, and both say the same.
            parts_.store.compare_and_swap(
                keys_record_key,
                record_revision_,
                text,
                store_lease{},
                [this, alive](const store_write& again)
                {
                    if (!alive.expired() && assigner_)
                    {
                        const bool is_done = again.end == store_end::done;
                        is_done ? on_record_write(again) : read_back_record();
                    }
                });
        });
}

void assigner_role::publish()
{
    if (assigner_->changes() != published_)
    {
        published_ = assigner_->changes();
        on_published_(assigner_->published());
    }
}

void assigner_role::resign(const char* why)
{
    renew_timer_.reset();
    tick_timer_.reset();
    weak_timer_.reset();
    if (assigner_)
    {
        parts_.log.events().write(event_id::keys_resigned, {{"reason", why}});
        assigner_.reset();
        written_.reset();
    }
}

void assigner_role::add_load(const service_name& service, shard_key key)
{
    if (assigner_)
    {
        assigner_->add_load(service, key, parts_.loop.now());
    }
}

void assigner_role::not_owned(const service_name& service, shard_key key)
{
    if (assigner_)
    {
        assigner_->not_owned(service, key, parts_.loop.now());
        tick_soon();
    }
}

void assigner_role::leave()
{
    is_leaving_ = true;
    if (is_own_)
    {
        is_own_ = false;
        resign("the program stops");
        parts_.store.revoke_lease(lease_, [](const store_lease_grant&) {});
    }
}

} // namespace camphorrock
