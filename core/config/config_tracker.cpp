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
    requested_at_.reset();
    if (newer_contact_ && newer_contact_->highest <= version_)
    {
        confirm(*newer_contact_);
        newer_contact_.reset();
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
    if (!newer_contact_ || newer_contact_->sent < sent)
    {
        newer_contact_ = at;
    }
}

bool config_tracker::on_version_reported(time_point now, config_version reported)
{
    bool is_due = !requested_at_ || now - *requested_at_ >= options_.request_interval;
    if (reported <= version_ || !is_due)
    {
        return false;
    }
    requested_at_ = now;
    return true;
}

void config_tracker::confirm(const contact& at)
{
    current_as_of_ = std::max(current_as_of_.value_or(at.sent), at.sent);
}

} // namespace camphorrock
