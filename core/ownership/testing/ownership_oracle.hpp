#pragma once

// The oracle of the ownership tests: what must hold, told without the implementation.
//
//   - at any real time at most one server is the owner of a hash. A server that checks
//     epochs is one while it would accept some request for the hash; a server that does
//     not check is one from the sending of a request for the hash until it has ended;
//   - the versions in the store rise by one, and each record is well formed.

#include "core/ownership/shard_record.hpp"

#include <functional>
#include <string>
#include <vector>

namespace camphorrock
{

// Who is the owner of sample hash number `hash` at this moment?
using is_owner_function = std::function<bool(std::size_t server, std::size_t hash)>;

class ownership_oracle
{
public:
    void check_owners(std::size_t servers,
                      std::size_t hashes,
                      const is_owner_function& is_owner)
    {
        for (std::size_t hash = 0; hash < hashes; ++hash)
        {
            std::string owners;
            int n = 0;
            for (std::size_t server = 0; server < servers; ++server)
            {
                if (is_owner(server, hash))
                {
                    owners += " " + std::to_string(server);
                    ++n;
                }
            }
            if (n > 1 && fault_.empty())
            {
                fault_ = "hash " + std::to_string(hash) + " has the owners" + owners;
            }
        }
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
        if (fault_.empty() && (!is_next || !fault.empty()))
        {
            fault_ = "version " + std::to_string(record.version.value) + " after " +
                     std::to_string(last_.value) + " " + fault;
        }
        last_ = record.version;
    }

    // Empty while all holds.
    const std::string& fault() const
    {
        return fault_;
    }

private:
    epoch last_;
    std::string fault_;
};

} // namespace camphorrock
