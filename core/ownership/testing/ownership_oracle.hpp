#pragma once

// The oracle of the ownership tests: what must hold, told without the implementation.
//
//   - at any real time at most one server is the owner of a hash. A server that checks
//     epochs is one while it would accept some request for the hash; a server that does
//     not check is one from the sending of a request for the hash until it has ended;
//   - a server process never goes back to a lower epoch of a hash;
//   - the versions in the store rise by one, and each record is well formed.

#include "core/ownership/shard_record.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorrock
{

// By which epoch does the server own sample hash number `hash` at this moment? Epoch 0
// for a server that does not check; none: it is no owner.
using owner_function =
    std::function<std::optional<epoch>(std::size_t server, std::size_t hash)>;

class ownership_oracle
{
public:
    void
    check_owners(std::size_t servers, std::size_t hashes, const owner_function& owner)
    {
        for (std::size_t hash = 0; hash < hashes; ++hash)
        {
            std::string owners;
            int n = 0;
            for (std::size_t server = 0; server < servers; ++server)
            {
                std::optional<epoch> since = owner(server, hash);
                owners += since ? " " + std::to_string(server) : "";
                n += since ? 1 : 0;
                epoch& highest = highest_[{server, hash}];
                if (since && *since < highest)
                {
                    note("server " + std::to_string(server) +
                         " went back to a lower epoch");
                }
                highest = std::max(highest, since.value_or(epoch{}));
            }
            if (n > 1)
            {
                note("hash " + std::to_string(hash) + " has the owners" + owners);
            }
        }
    }

    // The process of this server begins anew.
    void started(std::size_t server)
    {
        std::erase_if(highest_, [&](const auto& it) { return it.first.first == server; });
    }

    void written(const shard_record& record)
    {
        std::string fault = value_or_handle(
            [&]() -> result<std::string>
            {
                BOOST_LEAF_CHECK(validate(record));
                return std::string();
            },
            [](const error& ec) { return ec.text; });
        bool is_next = record.version.value == last_.value + 1;
        if (!is_next || !fault.empty())
        {
            note("version " + std::to_string(record.version.value) + " after " +
                 std::to_string(last_.value) + " " + fault);
        }
        last_ = record.version;
    }

    // Empty while all holds.
    const std::string& fault() const
    {
        return fault_;
    }

private:
    void note(std::string fault)
    {
        fault_ = fault_.empty() ? std::move(fault) : fault_;
    }

    std::map<std::pair<std::size_t, std::size_t>, epoch> highest_;
    epoch last_;
    std::string fault_;
};

} // namespace camphorrock
