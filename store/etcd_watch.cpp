#include "store/etcd_watch.hpp"

#include "codec/json_text.hpp"

#include <algorithm>
#include <utility>

namespace camphorrock
{
namespace
{

// One message is one line; it holds values of up to a megabyte, in base64.
constexpr std::size_t max_line_bytes = std::size_t{32} * 1024 * 1024;

constexpr int max_retry_factor = 16;

} // namespace

etcd_watch::etcd_watch(std::shared_ptr<etcd_caller> caller,
                       std::string prefix,
                       const watch_start& from,
                       store_client::watch_callback on_changes,
                       std::uint64_t seed)
    : caller_(std::move(caller)), prefix_(std::move(prefix)), last_revision_(from.after),
      on_changes_(std::move(on_changes)),
      backoff_(caller_->options().watch_retry_delay,
               max_retry_factor * caller_->options().watch_retry_delay,
               seed),
      known_keys_(from.initial_keys)
{
}

struct etcd_watch::handle_state : watch_handle::state
{
    explicit handle_state(std::shared_ptr<etcd_watch> held) : watch(std::move(held)) {}

    ~handle_state() override
    {
        watch->stop();
    }

    std::shared_ptr<etcd_watch> watch;
};

watch_handle etcd_watch::start()
{
    open();
    return watch_handle(std::make_shared<handle_state>(shared_from_this()));
}

void etcd_watch::stop()
{
    is_stopped_ = true;
    close();
}

void etcd_watch::close()
{
    timer_.reset();
    if (exchange_)
    {
        caller_->http().cancel(*exchange_);
        exchange_.reset();
    }
}

void etcd_watch::open()
{
    partial_line_.clear();
    is_acknowledged_ = false;
    exchange_options options;
    options.timeout = caller_->options().watch_lifetime;
    options.connection = connection_choice::fresh;
    const std::weak_ptr<etcd_watch> weak = weak_from_this();
    exchange_ = caller_->http().stream(
        caller_->current_endpoint(),
        caller_->make_request(etcd_target::watch, make_watch(prefix_, last_revision_)),
        options,
        [weak](std::string_view piece)
        {
            if (const std::shared_ptr<etcd_watch> self = weak.lock())
            {
                self->on_piece(piece);
            }
        },
        [weak](const exchange_result& got)
        {
            if (const std::shared_ptr<etcd_watch> self = weak.lock())
            {
                self->on_end(got);
            }
        });
    timer_ = caller_->loop().after(caller_->options().call_timeout,
                                   [this] { on_acknowledge_timeout(); });
}

void etcd_watch::on_piece(std::string_view piece)
{
    partial_line_.append(piece);
    std::size_t from = 0;
    const std::string text = std::exchange(partial_line_, {});
    for (std::size_t end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', from))
    {
        on_line(std::string_view(text).substr(from, end - from));
        from = end + 1;
        if (!exchange_)
        {
            return;
        }
    }
    partial_line_ = text.substr(from);
    if (partial_line_.size() > max_line_bytes)
    {
        close();
        schedule_retry();
    }
}

void etcd_watch::on_line(std::string_view line)
{
    const result<Json::Value> body = parse_json(line);
    std::optional<watch_message> message =
        body ? read_watch(*body) : std::optional<watch_message>();
    if (message)
    {
        on_message(std::move(*message));
        return;
    }
    close();
    schedule_retry();
}

void etcd_watch::on_message(watch_message message)
{
    if (message.is_canceled)
    {
        close();
        read_prefix();
        return;
    }
    is_acknowledged_ = true;
    timer_.reset();
    backoff_.on_success();
    if (!message.changes.empty())
    {
        last_revision_ = std::max(last_revision_, message.last);
        deliver(std::move(message.changes));
    }
}

void etcd_watch::on_end(const exchange_result& got)
{
    exchange_.reset();
    const bool is_lifetime_over = is_acknowledged_ && got.end == exchange_end::timed_out;
    timer_.reset();
    if (is_lifetime_over)
    {
        open();
        return;
    }
    caller_->fail_over();
    schedule_retry();
}

// The store has not acknowledged the watch within the call timeout.
void etcd_watch::on_acknowledge_timeout()
{
    close();
    caller_->fail_over();
    schedule_retry();
}

void etcd_watch::schedule_retry()
{
    const time_point now = caller_->loop().now();
    backoff_.on_failure(now);
    timer_ = caller_->loop().after(*backoff_.retry_at() - now,
                                   [this]
                                   {
                                       if (is_reread_due_)
                                       {
                                           read_prefix();
                                       }
                                       else
                                       {
                                           open();
                                       }
                                   });
}

void etcd_watch::read_prefix()
{
    is_reread_due_ = true;
    caller_->call(etcd_target::range,
                  make_prefix_range(prefix_),
                  etcd_call_kind::read,
                  [weak = weak_from_this()](const call_answer& got)
                  {
                      if (const std::shared_ptr<etcd_watch> self = weak.lock())
                      {
                          self->on_prefix_read(got);
                      }
                  });
}

void etcd_watch::on_prefix_read(const call_answer& got)
{
    if (is_stopped_)
    {
        return;
    }
    const std::optional<store_read> read = got.end == call_end::answered
                                               ? read_range(got.body)
                                               : std::optional<store_read>();
    if (!read)
    {
        schedule_retry();
        return;
    }
    std::vector<store_entry> changes;
    for (const store_entry& it : read->entries)
    {
        if (it.revision > last_revision_)
        {
            changes.push_back(it);
        }
    }
    const std::vector<store_entry> gone = known_keys_.missing_from(read->entries);
    changes.insert(changes.end(), gone.begin(), gone.end());
    is_reread_due_ = false;
    last_revision_ = std::max(last_revision_, read->at);
    open();
    if (!changes.empty())
    {
        deliver(std::move(changes));
    }
}

void etcd_watch::deliver(std::vector<store_entry> changes)
{
    known_keys_.apply_changes(changes);
    on_changes_(std::move(changes));
}

} // namespace camphorrock
