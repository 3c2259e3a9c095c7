#pragma once

// The oracle of the ownership tests. It checks these invariants independently of the
// implementation:
//
//   - at any real time at most one server owns a hash. A server that checks epochs owns
//     it while it would accept some request for the hash; a server that does not check
//     epochs owns it from when a request for the hash is sent until that request has
//     ended;
//   - a server process never returns to a lower epoch of a hash;
//   - each version in the store is the previous one plus one, and each record is valid.

#include "core/ownership/shard_record.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

// Returns the epoch by which the server owns sample hash number `hash` now: epoch 0 for a
// server that does not check epochs, nullopt if it is not an owner.
using owner_epoch_function =
    std::function<std::optional<epoch>(std::size_t server, std::size_t hash)>;

class ownership_oracle
{
public:
    void check_owners(std::size_t servers,
                      std::size_t hashes,
                      const owner_epoch_function& owner_epoch)
    {
        for (std::size_t hash = 0; hash < hashes; ++hash)
        {
            std::string owners;
            int n = 0;
            for (std::size_t server = 0; server < servers; ++server)
            {
                std::optional<epoch> since = owner_epoch(server, hash);
                owners += since ? " " + std::to_string(server) : "";
                n += since ? 1 : 0;
                epoch& highest = highest_epochs_[{server, hash}];
                if (since && *since < highest)
                {
                    record_violation("server " + std::to_string(server) +
                                     " returned to a lower epoch");
                }
                highest = std::max(highest, since.value_or(epoch{}));
            }
            if (n > 1)
            {
                record_violation("hash " + std::to_string(hash) +
                                 " has several owners:" + owners);
            }
        }
    }

    // The server has started a new process, which may hold lower epochs than the last
    // one.
    void server_started(std::size_t server)
    {
        std::erase_if(highest_epochs_,
                      [&](const auto& it) { return it.first.first == server; });
    }

    void record_written(const shard_record& record)
    {
        std::string error_text = value_or_handle(
            [&]() -> result<std::string>
            {
                BOOST_LEAF_CHECK(validate(record));
                return std::string();
            },
            [](const error& ec) { return ec.text; });
        bool is_next = record.version.value == last_version_.value + 1;
        if (!is_next || !error_text.empty())
        {
            record_violation("version " + std::to_string(record.version.value) +
                             " after " + std::to_string(last_version_.value) + " " +
                             error_text);
        }
        last_version_ = record.version;
    }

    // The first violation found; empty if there is none.
    const std::string& violation() const
    {
        return violation_;
    }

private:
    void record_violation(std::string text)
    {
        violation_ = violation_.empty() ? std::move(text) : violation_;
    }

    std::map<std::pair<std::size_t, std::size_t>, epoch> highest_epochs_;
    epoch last_version_;
    std::string violation_;
};

} // namespace camphorrock
