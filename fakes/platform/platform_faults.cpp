#include "fakes/platform/platform_faults.hpp"

#include <cmath>
#include <string>

namespace camphorrock::fakes
{
namespace
{

bool is_nonnegative_number(const Json::Value& value)
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

// Returns false if the member is unknown or its value is of the wrong type or negative.
bool set_member(platform_faults& faults,
                const std::string& member,
                const Json::Value& value)
{
    if (member == "outage" && value.isBool())
    {
        faults.is_in_outage = value.asBool();
        return true;
    }
    if (!is_nonnegative_number(value))
    {
        return false;
    }
    if (member == "delay_ms")
    {
        faults.delay = to_duration(value);
    }
    else if (member == "lose_requests")
    {
        faults.request_loss.set(value.asDouble());
    }
    else if (member == "lose_replies")
    {
        faults.reply_loss.set(value.asDouble());
    }
    else if (member == "list_lag_ms")
    {
        faults.list_lag = to_duration(value);
    }
    else
    {
        return false;
    }
    return true;
}

} // namespace

void call_loss::set(double setting)
{
    probability_ = setting < 1 ? setting : 0;
    remaining_count_ =
        setting < 1 ? 0 : static_cast<std::uint64_t>(std::llround(setting));
}

bool call_loss::draw(std::mt19937_64& random)
{
    if (remaining_count_ > 0)
    {
        --remaining_count_;
        return true;
    }
    return probability_ > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random) < probability_;
}

double call_loss::setting() const
{
    return remaining_count_ > 0 ? static_cast<double>(remaining_count_) : probability_;
}

result<void> change_faults(platform_faults& faults, const Json::Value& body)
{
    if (!body.isObject())
    {
        return fail(error_code::invalid_argument, "the faults are not a JSON object");
    }
    platform_faults changed = faults;
    for (const std::string& member : body.getMemberNames())
    {
        if (!set_member(changed, member, body[member]))
        {
            return fail(error_code::invalid_argument,
                        "'" + member + "' is unknown or has a wrong value");
        }
    }
    faults = changed;
    return {};
}

Json::Value to_json(const platform_faults& faults)
{
    Json::Value made(Json::objectValue);
    made["outage"] = faults.is_in_outage;
    made["delay_ms"] = to_ms(faults.delay);
    made["lose_requests"] = faults.request_loss.setting();
    made["lose_replies"] = faults.reply_loss.setting();
    if (faults.list_lag)
    {
        made["list_lag_ms"] = to_ms(*faults.list_lag);
    }
    return made;
}

} // namespace camphorrock::fakes
