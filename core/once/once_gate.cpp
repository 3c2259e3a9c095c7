#include "core/once/once_gate.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr duration not_ready_retry_after = milliseconds(200);
constexpr duration over_budget_retry_after = seconds(5);

id_table_options table_options(const once_options& options)
{
    return {options.max_memory_bytes, options.filter_bytes};
}

once_result not_run()
{
    return {outcome::not_run, 0, nullptr};
}

once_result unknown(unsigned status = 0)
{
    return {outcome::unknown, status, nullptr};
}

} // namespace

once_gate::once_gate(once_options options, write_budget& budget)
    : options_(std::move(options)), budget_(budget), ids_(table_options(options_)),
      writer_(options_, budget_),
      load_backoff_(
          options_.initial_retry_delay, options_.max_retry_delay, options_.writer + 1),
      loaded_retention_({}), min_retention_(options_.retention)
{
    loaded_retention_.set(options_.retention, time_point());
}

void once_gate::change_settings(time_point now, const once_settings& settings)
{
    loaded_retention_.set(settings.retention, now);
    if (settings.retention < min_retention_)
    {
        min_retention_ = settings.retention;
        min_retention_since_ = now;
    }
    static_cast<once_settings&>(options_) = settings;
    tick(now);
}

void once_gate::set_authority(time_point now, time_point until)
{
    authority_until_ = until;
    tick(now);
}

void once_gate::on_request_received(time_point now, const once_request& request)
{
    begin_event(now);
    std::size_t longest =
        std::max(request.key.id.str().size(), request.key.caller.str().size());
    if (longest > options_.max_id_bytes)
    {
        answer(request.waiter, not_run(), once_reason::invalid_id);
    }
    else if (id_row* row = ids_.find(request.key))
    {
        handle_known_id(now, request, *row);
    }
    else
    {
        admit(now, request);
    }
    advance(now);
}

void once_gate::handle_known_id(time_point now, const once_request& request, id_row& row)
{
    if (row.fingerprint != request.fingerprint)
    {
        return answer(request.waiter, not_run(), once_reason::different_request);
    }
    if (row.state == id_state::finished)
    {
        return answer_finished(request.waiter, row);
    }
    if (row.state == id_state::unresolved && options_.servers_deduplicate &&
        is_ready(request.key.at, request.since))
    {
        set_active(request.key, true);
        add_waiter(request, row);
        return start_run(request.key, row);
    }
    if (row.state == id_state::unresolved)
    {
        wants_refresh_ = true;
        return answer(request.waiter, unknown(), once_reason::unresolved);
    }
    if (row.state == id_state::appending && writer_.retry_at())
    {
        return refuse(request, once_reason::store_unavailable, store_retry_delay(now));
    }
    add_waiter(request, row);
    expire_waiters(now);
}

void once_gate::admit(time_point now, const once_request& request)
{
    if (ids_.is_expired(request.key))
    {
        return answer(request.waiter, unknown(), once_reason::expired);
    }
    if (!is_ready(request.key.at, request.since))
    {
        return refuse(request, once_reason::not_scheduled, not_ready_retry_after);
    }
    if (request.deadline <= now)
    {
        return refuse(request, once_reason::deadline);
    }
    bool is_store_down = writer_.retry_at() && now < *writer_.retry_at();
    if (is_store_down && !options_.servers_deduplicate)
    {
        return refuse(request, once_reason::store_unavailable, store_retry_delay(now));
    }
    id_row* row = ids_.insert(request.key);
    if (row == nullptr)
    {
        return refuse(request, once_reason::over_budget, over_budget_retry_after);
    }
    row->fingerprint = request.fingerprint;
    row->since = request.since;
    set_active(request.key, true);
    add_waiter(request, *row);
    if (is_store_down)
    {
        return start_run(request.key, *row);
    }
    writer_.push(now, admitted_entry{request.key, request.fingerprint, request.since});
}

void once_gate::on_caller_disconnected(time_point now, waiter_id waiter)
{
    begin_event(now);
    if (std::optional<waiter_table::row> found = waiters_.remove(waiter))
    {
        if (id_row* row = ids_.find(found->key))
        {
            std::erase(row->waiters, waiter);
        }
    }
    advance(now);
}

void once_gate::on_run_finished(time_point now, run_id run, once_result result)
{
    begin_event(now);
    auto found = runs_.find(run.value);
    if (found == runs_.end())
    {
        return;
    }
    once_key key = std::move(found->second);
    runs_.erase(found);
    id_row& row = *ids_.find(key);
    for (waiter_id it : std::exchange(row.waiters, {}))
    {
        answer(it, result, once_reason::finished);
    }
    if (result.payload && result.payload->size() > options_.max_payload_bytes)
    {
        result.payload.reset();
    }
    set_active(key, false);
    if (result.end == outcome::not_run)
    {
        free_id(now, key, row.fingerprint);
    }
    else
    {
        ids_.finish(row, now + options_.retention, result);
    }
    if (result.end == outcome::ran)
    {
        writer_.push(now, finished_entry{key, row.fingerprint, row.result});
    }
    advance(now);
}

void once_gate::tick(time_point now)
{
    begin_event(now);
    advance(now);
}

std::optional<time_point> once_gate::next_tick() const
{
    std::optional<time_point> next = waiters_.next_deadline();
    auto add = [&](std::optional<time_point> at)
    {
        if (at)
        {
            next = std::min(next.value_or(*at), *at);
        }
    };
    add(writer_.next_poll());
    if (needs_load())
    {
        add(load_backoff_.retry_at());
    }
    if (writer_.is_open())
    {
        add(next_renewal_check());
    }
    return next;
}

std::vector<once_action> once_gate::take_actions()
{
    return std::exchange(actions_, {});
}

bool once_gate::is_ready(key_hash at, epoch since) const
{
    const claim_row* row = claims_.find(at);
    return row != nullptr && row->state == claim_state::ready && row->since == since &&
           now_ <= authority_until_;
}

void once_gate::begin_event(time_point now)
{
    now_ = now;
    expire_waiters(now);
    ids_.sweep(now);
}

void once_gate::add_waiter(const once_request& request, id_row& row)
{
    row.waiters.push_back(request.waiter);
    waiters_.add(request.waiter, {request.key, request.deadline});
}

void once_gate::start_run(const once_key& key, id_row& row)
{
    row.state = id_state::running;
    row.run = run_id{++last_run_id_};
    runs_.emplace(row.run.value, key);
    actions_.push_back(run_action{row.run, row.waiters.front(), key, row.since});
}

void once_gate::answer(waiter_id waiter,
                       once_result result,
                       once_reason reason,
                       duration retry_after)
{
    waiters_.remove(waiter);
    actions_.push_back(answer_action{waiter, std::move(result), reason, retry_after});
}

void once_gate::refuse(const once_request& request,
                       once_reason reason,
                       duration retry_after)
{
    answer(request.waiter,
           result_without_run(request.key.at, request.since),
           reason,
           retry_after);
}

// While this router holds the range, no other router can have run an id that this one has
// not run.
once_result once_gate::result_without_run(key_hash at, epoch since) const
{
    return is_held(at, since) ? not_run() : unknown();
}

void once_gate::answer_finished(waiter_id waiter, const id_row& row)
{
    bool is_payload_dropped = row.result.end == outcome::ran && !row.result.payload;
    if (is_payload_dropped)
    {
        return answer(waiter, unknown(row.result.status), once_reason::answer_not_kept);
    }
    answer(waiter, row.result, once_reason::finished);
}

void once_gate::expire_waiters(time_point now)
{
    for (waiter_id it : waiters_.expired(now))
    {
        std::optional<waiter_table::row> found = waiters_.remove(it);
        id_row& row = *ids_.find(found->key);
        std::erase(row.waiters, it);
        bool is_running = row.state == id_state::running;
        once_result end =
            is_running ? unknown() : result_without_run(found->key.at, row.since);
        answer(it, std::move(end), once_reason::deadline);
    }
}

void once_gate::set_active(const once_key& key, bool is_active)
{
    if (is_active)
    {
        ++active_counts_[key.at];
        return;
    }
    auto it = active_counts_.find(key.at);
    if (--it->second == 0)
    {
        active_counts_.erase(it);
    }
}

duration once_gate::store_retry_delay(time_point now) const
{
    time_point at = writer_.retry_at().value_or(now);
    return std::max(at - now, options_.initial_retry_delay);
}

} // namespace camphorrock
