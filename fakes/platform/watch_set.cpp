#include "fakes/platform/watch_set.hpp"

#include "codec/json_text.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace camphorrock::fakes
{
namespace
{

void send_line(http_responder& to, const Json::Value& message)
{
    to.add_piece(write_json(message) + "\n");
}

} // namespace

void watch_set::add(const watch_request& wanted,
                    std::shared_ptr<http_responder> responder)
{
    const std::uint64_t id = ++last_id_;
    http_response head;
    head.headers.add("Content-Type", "application/json");
    responder->start_stream(std::move(head));
    responder->on_disconnect([this, id] { watches_.erase(id); });
    send_line(*responder, make_watch_created(kv_.revision()));
    watch made{std::move(responder),
               wanted.keys,
               wanted.start_revision != 0 ? wanted.start_revision : kv_.revision() + 1};
    if (send_changes(made))
    {
        watches_.emplace(id, std::move(made));
    }
}

void watch_set::send_changes()
{
    for (auto it = watches_.begin(); it != watches_.end();)
    {
        it = send_changes(it->second) ? std::next(it) : watches_.erase(it);
    }
}

void watch_set::abort_all()
{
    std::map<std::uint64_t, watch> all;
    all.swap(watches_);
    for (auto& [id, it] : all)
    {
        it.responder->abort();
    }
}

bool watch_set::send_changes(watch& to) const
{
    const std::optional<std::vector<kv_event>> events =
        kv_.events_since(to.next_revision, to.keys);
    if (!events)
    {
        send_line(*to.responder,
                  make_watch_compacted(kv_.revision(), kv_.first_kept_revision()));
        to.responder->end_stream();
        return false;
    }
    if (!events->empty())
    {
        to.next_revision = events->back().entry.mod_revision + 1;
        send_line(*to.responder, make_watch_events(*events, kv_.revision()));
    }
    return true;
}

} // namespace camphorrock::fakes
