#pragma once

// Refuses messages that arrive twice, or after a later one of their sender. A sender
// numbers its messages upwards and has a random id.
//
//     if (filter.accept(notice.sender, notice.sequence_number, now)) ... // use it
//     filter.expire(now);  // periodically
//
// Memory: one row per sender that was heard within `lifetime`, at most `max_senders`;
// messages of further ones are refused. Each call costs O(log senders), and expire()
// O(senders).

#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace camphorrock
{

class sequence_filter
{
public:
    explicit sequence_filter(duration lifetime = seconds(10),
                             std::size_t max_senders = 1024)
        : lifetime_(lifetime), max_senders_(max_senders)
    {
    }

    // Returns true for a number above all that the sender has used.
    bool accept(std::uint64_t sender, std::uint64_t number, time_point now)
    {
        const auto found = rows_.find(sender);
        if (found == rows_.end())
        {
            return rows_.size() < max_senders_ &&
                   rows_.try_emplace(sender, row{number, now}).second;
        }
        if (number <= found->second.number)
        {
            return false;
        }
        found->second = {number, now};
        return true;
    }

    // Forgets the senders that have been silent for `lifetime`.
    void expire(time_point now)
    {
        std::erase_if(rows_,
                      [&](const auto& it)
                      { return now - it.second.received_at > lifetime_; });
    }

private:
    struct row
    {
        std::uint64_t number = 0;
        time_point received_at{};
    };

    duration lifetime_;
    std::size_t max_senders_;
    std::map<std::uint64_t, row> rows_;
};

} // namespace camphorrock
