#include "fakes/platform/call_stats.hpp"

#include <string>

namespace camphorrock::fakes
{
namespace
{

Json::Value make_counter_json(call_counter& counter, time_point now)
{
    Json::Value made(Json::objectValue);
    made["total"] = Json::UInt64{counter.total()};
    made["last_second"] = Json::UInt64{counter.last_second(now)};
    made["busiest_second"] = Json::UInt64{counter.busiest_second()};
    return made;
}

} // namespace

void call_stats::count(call_kind kind, time_point now)
{
    kinds_[static_cast<std::size_t>(kind)].count(now);
    call_counter& group = is_write(kind) ? writes_ : reads_;
    group.count(now);
}

Json::Value call_stats::to_json(time_point now)
{
    Json::Value made(Json::objectValue);
    for (std::size_t i = 0; i < call_kind_count; ++i)
    {
        const std::string name(name_of(static_cast<call_kind>(i)));
        made["calls"][name] = Json::UInt64{kinds_[i].total()};
    }
    made["reads"] = make_counter_json(reads_, now);
    made["writes"] = make_counter_json(writes_, now);
    made["refused"] = Json::UInt64{refused};
    made["cut_off"] = Json::UInt64{cut_off};
    made["lost_requests"] = Json::UInt64{lost_requests};
    made["lost_replies"] = Json::UInt64{lost_replies};
    return made;
}

} // namespace camphorrock::fakes
