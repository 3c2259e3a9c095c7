#include "gateway/assigner_role.hpp"

#include "codec/key_messages.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// After a failed one, since owners need long grants before the lease may have ended.
constexpr duration renewal_retry_pause = milliseconds(100);
constexpr duration tick_period = milliseconds(50);
constexpr duration publish_period_per_gateway = microseconds(250);
// The next tick publishes what came too early.
constexpr duration max_publish_period = tick_period;
constexpr duration retry_pause = milliseconds(200);
// By the first check, the other gateways have reported to the new assigner.
constexpr duration hand_over_check_period = seconds(2);
constexpr duration waiting_report_period = seconds(1);

// The record of the latest era; null if there is none.
const store_entry* latest_record(const std::vector<store_entry>& all)
{
    const store_entry* latest = nullptr;
    for (const store_entry& it : all)
    {
        const bool is_later =
            latest == nullptr || it.key.size() > latest->key.size() ||
            (it.key.size() == latest->key.size() && it.key > latest->key);
        latest = is_later ? &it : latest;
    }
    return latest;
}

key_assigner_options options_of(const gateway_settings& settings)
{
    key_assigner_options options;
    options.long_hold_time = settings.max_hold * 98 / 100;
    return options;
}

} // namespace

std::string record_key_of(store_era era)
{
    return era.value == 0 ? keys_record_key
                          : keys_record_key + ("." + std::to_string(era.value));
}

assigner_role::assigner_role(assigner_role_context context,
                             std::function<void(const key_assignment&)> on_published,
                             std::function<void()> on_holder)
    : context_(std::move(context)), on_published_(std::move(on_published)),
      on_holder_(std::move(on_holder)), created_at_(context_.loop.now())
{
    holder_reader_ = std::make_unique<store_reader>(
        context_.loop,
        context_.store,
        holder_key,
        // The role is taken by a write on a condition, so a stale holder does no harm.
        store_freshness::may_be_stale,
        [this](const std::vector<store_entry>& all) { on_holder_read(all); },
        [this](const std::vector<store_entry>& changes) { on_holder_changed(changes); });
    context_.store.on_era_changed([this] { on_era_changed(); });
    if (context_.links != nullptr)
    {
        context_.links->on_change([this] { on_links_changed(); });
    }
    // A change of the servers or the configuration may need new orders.
    context_.state.on_change([this] { post_tick(); });
}

assigner_role::~assigner_role() = default;

void assigner_role::on_record(const store_read& got)
{
    if (!is_elected_)
    {
        return;
    }
    if (got.end != store_end::done)
    {
        retry_timer_ = context_.loop.after(retry_pause, [this] { on_elected(); });
        return;
    }
    const store_entry* latest = latest_record(got.entries);
    if (latest == nullptr)
    {
        start_assigner({}, {});
        return;
    }
    const std::optional<key_assignment> record = value_or_handle(
        [&]() -> result<std::optional<key_assignment>>
        { return parse_key_assignment(latest->value); },
        [&](const error& ec)
        {
            context_.log.events().write(event_id::record_unreadable, {{"text", ec.text}});
            return std::optional<key_assignment>();
        });
    if (!record)
    {
        return;
    }
    const bool is_of_this_era = latest->key == record_key_of(context_.store.era());
    older_record_ = is_of_this_era ? std::nullopt : std::optional(*latest);
    start_assigner(*record, is_of_this_era ? latest->revision : store_revision{});
}

// True if this gateway knows all grants that may be in force: it has had authority all
// the while, and no assigner has written a record in this era.
bool assigner_role::may_go_on(const key_assignment& record) const
{
    return assigner_ != nullptr && !has_revoked_lease_ &&
           assigner_->has_authority(context_.loop.now()) &&
           era_of_number(record.epoch_limit.value) < context_.store.era();
}

// A record of an earlier era may be older than what this gateway has heard. That need not
// be the latest either, and counts as of the record's era.
key_assignment assigner_role::latest_known(const key_assignment& record) const
{
    const key_assignment& heard = context_.state.assignment();
    const bool is_of_earlier_era =
        era_of_number(record.epoch_limit.value) < context_.store.era();
    if (!is_of_earlier_era || heard.version <= record.version)
    {
        return record;
    }
    key_assignment latest = heard;
    latest.epoch_limit = std::max(record.epoch_limit, epoch{1});
    return latest;
}

void assigner_role::start_assigner(const key_assignment& record, store_revision at)
{
    const gateway_settings& settings = context_.state.settings();
    const time_point now = context_.loop.now();
    const store_era era = context_.store.era();
    const bool goes_on = may_go_on(record);
    record_revision_ = at;
    record_in_flight_.reset();
    elected_at_ = now;
    if (goes_on)
    {
        assigner_->begin_era(era, now);
    }
    else
    {
        published_changes_ = 0;
        assigner_ = std::make_shared<key_assigner>(options_of(settings),
                                                   latest_known(record),
                                                   settings.id,
                                                   now,
                                                   era,
                                                   stated_bound_);
        has_logged_proof_ = false;
        if (const std::optional<assigner_term_end> own = last_term_end())
        {
            assigner_->predecessor_ended(*own, now);
        }
        note_writer(record);
        has_been_assigner_ = true;
        if (const std::optional<assigner_restart> own = restart())
        {
            assigner_->predecessor_restarted(*own, now);
        }
    }
    assigner_->lease_renewed(lease_call_sent_at_);
    has_revoked_lease_ = false;
    context_.log.events().write(
        event_id::keys_elected,
        {{"term", std::max(record.version.term + 1, first_number_of(era))},
         {"record_revision", at.value},
         {"era", era.value},
         {"goes_on", goes_on},
         {"predecessor", record.writer},
         {"bounded",
          stated_bound_ && stated_bound_->writer == record.writer &&
              stated_bound_->term == record.version.term}});
    if (context_.on_elected)
    {
        context_.on_elected();
    }
    tick_timer_ = context_.loop.every(tick_period, [this] { tick(); });
    waiting_timer_ =
        context_.loop.every(waiting_report_period, [this] { report_waiting_keys(); });
    hand_over_timer_ =
        context_.loop.every(hand_over_check_period, [this] { check_hand_over(); });
    tick();
}

void assigner_role::renew_lease()
{
    if (is_renewal_in_flight_)
    {
        return;
    }
    is_renewal_in_flight_ = true;
    const time_point sent = context_.loop.now();
    context_.store.keep_alive(
        lease_,
        [this, sent, lease = lease_, alive = std::weak_ptr<const bool>(alive_)](
            const store_lease_grant& got)
        {
            if (!alive.expired())
            {
                on_renewal(got, lease, sent);
            }
        });
}

void assigner_role::on_renewal(const store_lease_grant& got,
                               const store_lease& of,
                               time_point sent)
{
    is_renewal_in_flight_ = false;
    if (!is_elected_ || of != lease_)
    {
        return;
    }
    if (got.has_ended)
    {
        on_no_holder();
        return;
    }
    if (got.end == store_end::done)
    {
        lease_call_sent_at_ = sent;
        if (assigner_)
        {
            assigner_->lease_renewed(sent);
        }
        return;
    }
    renewal_retry_timer_ =
        context_.loop.after(renewal_retry_pause, [this] { renew_lease(); });
    if (assigner_)
    {
        assigner_->lease_renewal_failed(context_.loop.now());
        post_tick();
    }
}

void assigner_role::post_tick()
{
    if (assigner_ && !is_tick_posted_)
    {
        is_tick_posted_ = true;
        context_.loop.post(
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

assigner_view assigner_role::view() const
{
    assigner_view made;
    made.servers = &context_.state.servers();
    made.keyed_services = context_.state.keyed_services();
    made.capacity = [this](const service_name& service, const listed_server& server)
    {
        return capacity_of(service, server);
    };
    made.limit = [this](const listed_server& server)
    {
        return limit_of(server);
    };
    return made;
}

void assigner_role::report_waiting_keys()
{
    if (!assigner_)
    {
        return;
    }
    for (const waiting_keys& it : assigner_->waiting(view(), context_.loop.now()))
    {
        context_.log.keys_waiting(it);
    }
}

void assigner_role::tick()
{
    if (!assigner_)
    {
        return;
    }
    check_store();
    for (const key_order& order : assigner_->tick(view(), context_.loop.now()))
    {
        account_for_limit(order);
        context_.orders.send(
            order,
            [this, order, of = std::weak_ptr(assigner_)](const order_result& got)
            {
                if (!of.expired())
                {
                    context_.log.order_ended(order, got);
                    note_link(order, got);
                    note_leaving(order, got);
                    note_limit(order, got);
                    note_warm_up(order, got);
                    assigner_->order_ended(order.id, got, context_.loop.now());
                    post_tick();
                }
            });
    }
    write_record();
    write_bound();
    note_proof();
    publish_changes();
}

void assigner_role::write_record()
{
    if (record_in_flight_ || is_reclaiming_)
    {
        return;
    }
    std::optional<key_assignment> next = assigner_->next_record(context_.loop.now());
    if (!next)
    {
        return;
    }
    record_in_flight_ = std::make_shared<const key_assignment>(std::move(*next));
    context_.store.compare_and_swap(
        record_key_of(context_.store.era()),
        record_revision_,
        key_assignment_text(*record_in_flight_),
        store_lease{},
        [this, of = std::weak_ptr(record_in_flight_)](const store_write& got)
        {
            if (!of.expired())
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
        context_.log.events().write(event_id::keys_written,
                                    {{"term", record_in_flight_->version.term},
                                     {"change", record_in_flight_->version.change},
                                     {"revision", got.revision.value}});
        record_in_flight_.reset();
        assigner_->record_written(context_.loop.now());
        delete_older_record();
        post_tick();
        return;
    case store_end::conflict:
    case store_end::unknown:
        read_back_record();
        return;
    case store_end::failed:
        record_in_flight_.reset();
        assigner_->record_not_written();
        return;
    }
}

void assigner_role::delete_older_record()
{
    if (older_record_)
    {
        context_.store.compare_and_delete(
            older_record_->key, older_record_->revision, [](const store_write&) {});
        older_record_.reset();
    }
}

// The write may have taken effect, or may still do so: the text of the record shows it.
void assigner_role::read_back_record()
{
    context_.store.get(
        record_key_of(context_.store.era()),
        [this, of = std::weak_ptr(record_in_flight_)](const store_read& got)
        {
            if (of.expired())
            {
                return;
            }
            if (got.end != store_end::done)
            {
                retry_timer_ = context_.loop.after(retry_pause,
                                                   [this, of]
                                                   {
                                                       if (!of.expired())
                                                       {
                                                           read_back_record();
                                                       }
                                                   });
                return;
            }
            const store_revision at =
                got.entries.empty() ? store_revision{} : got.entries.front().revision;
            const std::string text = key_assignment_text(*record_in_flight_);
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
            // The write may still take effect. Writing the same text again settles it:
            // only one of the two writes can succeed, and both have the same text.
            context_.store.compare_and_swap(
                record_key_of(context_.store.era()),
                record_revision_,
                text,
                store_lease{},
                [this, of](const store_write& retry_result)
                {
                    if (!of.expired())
                    {
                        const bool is_done = retry_result.end == store_end::done;
                        is_done ? on_record_write(retry_result) : read_back_record();
                    }
                });
        });
}

// In a large fleet, several changes are published together: each one goes to all
// gateways, and must leave time for the orders to the servers.
void assigner_role::publish_changes()
{
    const time_point now = context_.loop.now();
    const auto gateways = static_cast<int>(context_.state.gateways().size());
    const duration period =
        std::min<duration>(publish_period_per_gateway * gateways, max_publish_period);
    const bool is_due = now - last_published_at_ >= period;
    if (is_due && assigner_->changes() != published_changes_)
    {
        published_changes_ = assigner_->changes();
        last_published_at_ = now;
        on_published_(assigner_->published());
    }
}

void assigner_role::resign(const char* reason)
{
    renew_timer_.reset();
    renewal_retry_timer_.reset();
    tick_timer_.reset();
    waiting_timer_.reset();
    hand_over_timer_.reset();
    is_reclaiming_ = false;
    if (assigner_)
    {
        const time_point now = context_.loop.now();
        const std::optional<assigner_term_end> said = assigner_->term_end(now);
        // Without a record there were no orders, and what was said before still holds.
        if (said)
        {
            last_term_end_ = said;
            last_term_ended_at_ = now;
        }
        const duration left = said ? said->unanswered_grants_left : duration::zero();
        context_.log.events().write(event_id::keys_resigned,
                                    {{"reason", reason},
                                     {"term", said ? said->term : 0},
                                     {"unanswered_ms", whole_ms(left)}});
        assigner_.reset();
        record_in_flight_.reset();
    }
}

void assigner_role::add_load(const service_name& service, shard_key key)
{
    if (assigner_)
    {
        assigner_->add_load(service, key, context_.loop.now());
    }
}

void assigner_role::add_refusal(const service_name& service, shard_key key)
{
    if (assigner_)
    {
        assigner_->not_owned(service, key, context_.loop.now());
        post_tick();
    }
}

void assigner_role::shut_down()
{
    is_shut_down_ = true;
    if (is_elected_ || is_reclaiming_)
    {
        is_elected_ = false;
        resign("the program is stopping");
        context_.store.revoke_lease(lease_, [](const store_lease_grant&) {});
    }
}

} // namespace camphorrock
