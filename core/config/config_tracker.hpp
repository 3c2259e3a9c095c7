#pragma once

// Which version of the configuration an instance has in force, and whether it may still
// serve with it.
//
//   - The version only ever goes up; an older document is ignored.
//   - A contact is an answer of the store, or of a majority of the voters in one round,
//     that names the highest version known there. A single peer is no contact: it may be
//     as cut off as we are.
//   - The version in force is known to be current as of the *sending* of the latest
//     contact that named nothing newer. Past `freshness_bound` after that, the instance
//     refuses. So a patch that a majority or the store knows is in force, or refused
//     for, everywhere within the bound.
//   - Any peer that names a newer version is asked for the document.

#include "core/base/time.hpp"
#include "core/config/config_version.hpp"

#include <optional>

namespace camphorrock
{

struct config_tracker_options
{
    duration freshness_bound = seconds(6);
    duration ask_interval = milliseconds(200); // between two requests for a document
};

class config_tracker
{
public:
    explicit config_tracker(config_tracker_options options) : options_(options) {}

    config_version version() const
    {
        return version_;
    }

    // True while the version in force is known to be current within the bound.
    bool may_serve(time_point now) const;

    // True if the version in force is known to have been current `age` ago or later.
    bool is_current_within(duration age, time_point now) const
    {
        return current_as_of_ && now - *current_as_of_ <= age;
    }

    // A document of this version is at hand. True if it is newer: it is in force from now
    // on. False: drop it.
    bool on_document(config_version version);

    // The store, or a majority, named `highest` in answer to what was sent at `sent`.
    void on_contact(time_point sent, config_version highest);

    // Someone named a version. True if the document is to be asked for now, from them.
    bool on_version_seen(time_point now, config_version seen);

private:
    struct contact
    {
        time_point sent;
        config_version highest;
    };

    void confirm(const contact& at);

    config_tracker_options options_;
    config_version version_;
    std::optional<time_point> current_as_of_;
    std::optional<contact> ahead_; // the latest contact that named a newer version
    std::optional<time_point> asked_;
};

} // namespace camphorrock
