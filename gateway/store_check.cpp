#include "gateway/store_check.hpp"

#include "gateway/assigner_role.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t asked_gateways = 3;
constexpr duration call_timeout = milliseconds(200);
constexpr duration choice_kept = seconds(1); // after a question
constexpr duration min_read_period = milliseconds(100);
constexpr const char* answered_field = "answered_ms";

} // namespace

store_check::store_check(event_loop& loop,
                         store_client& store,
                         gateway_state& state,
                         rpc_client& rpc,
                         rpc_server& server)
    : loop_(loop), store_(store), state_(state), rpc_(rpc)
{
    server.add("store.check", [this](const Json::Value&) { return handle_check(); });
}

// The same gateways are asked again for a while, as their first answers may be old.
void store_check::choose_others()
{
    const time_point now = loop_.now();
    const bool is_new = now - std::exchange(last_asked_at_, now) > choice_kept;
    if (!is_new && !others_.empty())
    {
        return;
    }
    others_ = state_.gateways();
    std::erase_if(others_,
                  [this](const fleet_gateway& it)
                  { return it.peer == state_.settings().peer; });
    std::shuffle(others_.begin(), others_.end(), state_.random());
    others_.resize(std::min(others_.size(), asked_gateways));
}

void store_check::ask(const std::function<void(time_point)>& on_answered)
{
    choose_others();
    const time_point asked_at = loop_.now();
    for (const fleet_gateway& it : others_)
    {
        rpc_.call(it.peer,
                  "store.check",
                  Json::Value(Json::objectValue),
                  call_timeout,
                  [on_answered, asked_at, alive = std::weak_ptr<const bool>(alive_)](
                      const rpc_result& got)
                  {
                      const bool has_answer =
                          !alive.expired() && got.end == rpc_end::answered &&
                          got.value.isObject() && got.value[answered_field].isUInt();
                      if (has_answer)
                      {
                          const milliseconds ago(got.value[answered_field].asUInt());
                          on_answered(asked_at - ago);
                      }
                  });
    }
}

result<Json::Value> store_check::handle_check()
{
    read_store();
    Json::Value answer(Json::objectValue);
    if (answered_at_)
    {
        const auto ago = std::chrono::ceil<milliseconds>(loop_.now() - *answered_at_);
        answer[answered_field] = static_cast<Json::UInt>(ago.count());
    }
    return answer;
}

void store_check::read_store()
{
    const time_point now = loop_.now();
    const bool is_fresh = answered_at_ && now - *answered_at_ < min_read_period;
    if (is_fresh || is_reading_)
    {
        return;
    }
    is_reading_ = true;
    store_.get(
        bound_key, // it need not exist
        [this, now, alive = std::weak_ptr<const bool>(alive_)](const store_read& got)
        {
            if (alive.expired())
            {
                return;
            }
            is_reading_ = false;
            if (got.end == store_end::done)
            {
                answered_at_ = now;
            }
        });
}

} // namespace camphorrock
