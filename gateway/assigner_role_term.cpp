// The part of assigner_role that spares the next assigner waits for grants that were
// never given: the stated bound, and what gateways say of a term that has ended.

#include "codec/key_messages.hpp"
#include "gateway/assigner_role.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

// The next assigner assumes that grants of earlier ones are in force for less than this.
constexpr duration term_end_kept = seconds(30);
constexpr duration store_check_period = milliseconds(50);

} // namespace

// The bound only shortens waits, so an assigner starts without it if it cannot be read.
void assigner_role::on_bound_read(const store_read& got)
{
    stated_bound_.reset();
    bound_revision_ = {};
    if (got.end == store_end::done && !got.entries.empty())
    {
        bound_revision_ = got.entries.front().revision;
        stated_bound_ =
            value_or_handle([&]() -> result<std::optional<grant_bound>>
                            { return parse_grant_bound(got.entries.front().value); },
                            [](const error&) { return std::optional<grant_bound>(); });
    }
    store_page page;
    context_.store.get_prefix(
        keys_record_key,
        page,
        [this, alive = std::weak_ptr<const bool>(alive_)](const store_read& record)
        {
            if (!alive.expired())
            {
                on_record(record);
            }
        });
}

void assigner_role::check_store()
{
    const time_point now = context_.loop.now();
    const bool is_due = context_.others != nullptr && assigner_->needs_store_check(now) &&
                        now - last_store_check_at_ >= store_check_period;
    if (!is_due)
    {
        return;
    }
    last_store_check_at_ = now;
    assigner_->store_check_begun(now);
    context_.others->ask(
        [this, of = std::weak_ptr(assigner_)](time_point answered_at)
        {
            if (!of.expired())
            {
                assigner_->store_answered_other(answered_at);
                post_tick();
            }
        });
}

void assigner_role::write_bound()
{
    const std::optional<grant_bound> bound =
        is_reclaiming_ ? std::nullopt : assigner_->next_bound(context_.loop.now());
    if (!bound)
    {
        return;
    }
    context_.store.compare_and_swap(
        bound_key,
        bound_revision_,
        grant_bound_text(*bound),
        store_lease{},
        [this, bound = *bound, of = std::weak_ptr(assigner_)](const store_write& got)
        {
            if (!of.expired())
            {
                on_bound_write(bound, got);
            }
        });
}

// A write that failed is repeated, on the condition of what the key holds now.
void assigner_role::on_bound_write(const grant_bound& bound, const store_write& got)
{
    if (got.end == store_end::done)
    {
        bound_revision_ = got.revision;
        assigner_->bound_written(bound);
    }
    else if (got.end == store_end::conflict)
    {
        bound_revision_ = got.current ? got.current->revision : store_revision{};
    }
}

void assigner_role::note_proof()
{
    if (!has_logged_proof_ && assigner_->has_proved_bound())
    {
        has_logged_proof_ = true;
        context_.log.events().write(event_id::keys_predecessor_bounded,
                                    {{"hold_ms", whole_ms(stated_bound_->hold_time)}});
    }
}

std::optional<assigner_term_end> assigner_role::last_term_end() const
{
    const duration since = context_.loop.now() - last_term_ended_at_;
    if (!last_term_end_ || since > term_end_kept)
    {
        return std::nullopt;
    }
    auto left_of = [&](duration left)
    {
        return std::max<duration>(duration::zero(),
                                  std::chrono::ceil<milliseconds>(left - since));
    };
    assigner_term_end said = *last_term_end_;
    said.grants_left = left_of(said.grants_left);
    said.unanswered_grants_left = left_of(said.unanswered_grants_left);
    return said;
}

std::optional<assigner_term_end> assigner_role::end_term(const endpoint& successor)
{
    if (assigner_ && assigner_->has_authority(context_.loop.now()))
    {
        return std::nullopt;
    }
    if (assigner_)
    {
        is_elected_ = false;
        resign("another gateway has been elected");
        holder_ = successor;
        on_holder_();
    }
    return last_term_end();
}

void assigner_role::on_term_end(const assigner_term_end& got)
{
    if (assigner_ && assigner_->predecessor_ended(got, context_.loop.now()))
    {
        context_.log.events().write(
            event_id::keys_predecessor_ended,
            {{"predecessor", got.writer},
             {"term", got.term},
             {"grants_ms", whole_ms(got.grants_left)},
             {"unanswered_ms", whole_ms(got.unanswered_grants_left)}});
        post_tick();
    }
}

void assigner_role::note_writer(const key_assignment& record)
{
    if (!has_been_assigner_ && record.writer == context_.state.settings().id)
    {
        earlier_term_ = record.version.term;
    }
}

std::optional<assigner_restart> assigner_role::restart() const
{
    if (!earlier_term_)
    {
        return std::nullopt;
    }
    const duration ago = context_.loop.now() - created_at_;
    return assigner_restart{context_.state.settings().id,
                            *earlier_term_,
                            std::chrono::floor<milliseconds>(ago)};
}

void assigner_role::on_restart(const assigner_restart& got)
{
    if (assigner_ && assigner_->predecessor_restarted(got, context_.loop.now()))
    {
        context_.log.events().write(event_id::keys_predecessor_restarted,
                                    {{"predecessor", got.writer},
                                     {"term", got.term},
                                     {"started_ms", whole_ms(got.started_ago)}});
        post_tick();
    }
}

} // namespace camphorrock
