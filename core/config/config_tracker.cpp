#include "core/config/config_tracker.hpp"

#include <algorithm>

namespace camphorrock
{

bool config_tracker::may_serve(time_point now) const
{
    return is_current_within(options_.freshness_bound, now);
}

bool config_tracker::on_document(config_version version)
{
    if (version <= version_)
    {
        return false;
    }
    version_ = version;
    asked_.reset();
    if (ahead_ && ahead_->highest <= version_)
    {
        confirm(*ahead_);
        ahead_.reset();
    }
    return true;
}

void config_tracker::on_contact(time_point sent, config_version highest)
{
    contact at{sent, highest};
    if (highest <= version_ && version_ != config_version())
    {
        confirm(at);
        return;
    }
    if (!ahead_ || ahead_->sent < sent)
    {
        ahead_ = at;
    }
}

bool config_tracker::on_version_seen(time_point now, config_version seen)
{
    bool is_due = !asked_ || now - *asked_ >= options_.ask_interval;
    if (seen <= version_ || !is_due)
    {
        return false;
    }
    asked_ = now;
    return true;
}

void config_tracker::confirm(const contact& at)
{
    current_as_of_ = std::max(current_as_of_.value_or(at.sent), at.sent);
}

} // namespace camphorrock
