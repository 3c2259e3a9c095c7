#pragma once

// Tracks the version of the configuration that an instance has in force, and whether it
// may still serve with it.
//
//   - The version never decreases; an older document is ignored.
//   - A contact is an answer of the store, or of a majority of the voters in one round,
//     with the highest version known there. An answer of a single peer is not a contact,
//     since that peer may be as isolated as this instance.
//   - The version in force is known to have been current when the request of the latest
//     contact that named no newer version was *sent*. Later than `freshness_bound` after
//     that, the instance refuses requests. So within the bound after the store or a
//     majority knows a patch, every instance has it in force or refuses.
//   - If any peer names a newer version, the instance requests the document.

#include "core/base/time.hpp"
#include "core/config/config_version.hpp"

#include <optional>

namespace camphorrock
{

struct config_tracker_options
{
    duration freshness_bound = seconds(6);
    duration request_interval =
        milliseconds(200); // between two document requests, at least
};

class config_tracker
{
public:
    explicit config_tracker(config_tracker_options options) : options_(options) {}

    config_version version() const
    {
        return version_;
    }

    // True if the version in force was current at most `freshness_bound` ago.
    bool may_serve(time_point now) const;

    // True if the version in force is known to have been current at most `age` ago.
    bool is_current_within(duration age, time_point now) const
    {
        return current_as_of_ && now - *current_as_of_ <= age;
    }

    // A document of this version was received. Returns true if it is newer than the
    // version in force; it is then in force. Otherwise the caller discards the document.
    bool on_document(config_version version);

    // The store, or a majority of the voters, reported `highest` in answer to a request
    // that was sent at `sent`.
    void on_contact(time_point sent, config_version highest);

    // A peer reported a version. Returns true if the document is to be requested from it
    // now.
    bool on_version_reported(time_point now, config_version reported);

private:
    struct contact
    {
        time_point sent;
        config_version highest;
    };

    void confirm(const contact& at);

    config_tracker_options options_;
    config_version version_;
    std::optional<time_point> current_as_of_; // empty: never confirmed as current
    std::optional<contact>
        newer_contact_; // the latest contact with a version above version_
    std::optional<time_point> requested_at_; // when the document was last requested
};

} // namespace camphorrock
