#include "fakes/platform/fault_plan.hpp"

#include <cmath>
#include <string>

namespace camphorrock::fakes
{
namespace
{

bool is_amount(const Json::Value& value)
{
    return value.isNumeric() && value.asDouble() >= 0;
}

duration to_duration(const Json::Value& ms)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms.asDouble()));
}

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

// False for an unknown member or a wrong value.
bool change(fault_plan& plan, const std::string& member, const Json::Value& value)
{
    if (member == "outage" && value.isBool())
    {
        plan.outage = value.asBool();
        return true;
    }
    if (!is_amount(value))
    {
        return false;
    }
    if (member == "delay_ms")
    {
        plan.delay = to_duration(value);
    }
    else if (member == "lose_requests")
    {
        plan.lost_requests.set(value.asDouble());
    }
    else if (member == "lose_replies")
    {
        plan.lost_replies.set(value.asDouble());
    }
    else if (member == "list_lag_ms")
    {
        plan.list_lag = to_duration(value);
    }
    else
    {
        return false;
    }
    return true;
}

} // namespace

void loss::set(double number)
{
    share_ = number < 1 ? number : 0;
    next_ = number < 1 ? 0 : static_cast<std::uint64_t>(std::llround(number));
}

bool loss::draw(std::mt19937_64& random)
{
    if (next_ > 0)
    {
        --next_;
        return true;
    }
    return share_ > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share_;
}

double loss::number() const
{
    return next_ > 0 ? static_cast<double>(next_) : share_;
}

result<void> change_faults(fault_plan& plan, const Json::Value& body)
{
    if (!body.isObject())
    {
        return fail(error_code::invalid_argument, "the faults are not a JSON object");
    }
    fault_plan changed = plan;
    for (const std::string& member : body.getMemberNames())
    {
        if (!change(changed, member, body[member]))
        {
            return fail(error_code::invalid_argument,
                        "'" + member + "' is unknown or has a wrong value");
        }
    }
    plan = changed;
    return {};
}

Json::Value to_json(const fault_plan& plan)
{
    Json::Value made(Json::objectValue);
    made["outage"] = plan.outage;
    made["delay_ms"] = to_ms(plan.delay);
    made["lose_requests"] = plan.lost_requests.number();
    made["lose_replies"] = plan.lost_replies.number();
    if (plan.list_lag)
    {
        made["list_lag_ms"] = to_ms(*plan.list_lag);
    }
    return made;
}

} // namespace camphorrock::fakes
