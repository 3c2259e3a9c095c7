#pragma once

// The JSON forms of single values: names are strings, durations are whole milliseconds,
// hashes and ranges of hashes are hex strings, epochs and versions are unsigned numbers.
//
// An unsigned 64-bit number up to 2^53 is written as a JSON integer, since every JSON
// reader keeps integers up to there exact. A larger number is written as a decimal
// string. Both forms are read.
//
// A read_scalar reports a value of the wrong type or out of range as a fault at `path`.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/base/outcome.hpp"
#include "core/base/time.hpp"
#include "core/config/config_version.hpp"
#include "core/ownership/shard_report.hpp"

#include <json/value.h>

#include <cstdint>
#include <string>

namespace camphorrock
{

// The first fault found while reading.
class json_fault
{
public:
    // Only the first call has an effect.
    void set(const std::string& path, const std::string& what);

    bool is_set() const
    {
        return !text_.empty();
    }

    const std::string& text() const
    {
        return text_;
    }

private:
    std::string text_;
};

void read_scalar(const Json::Value&, const std::string& path, bool& out, json_fault&);
void read_scalar(const Json::Value&, const std::string& path, unsigned& out, json_fault&);
void read_scalar(const Json::Value&,
                 const std::string& path,
                 std::uint64_t& out,
                 json_fault&);
void read_scalar(const Json::Value&,
                 const std::string& path,
                 std::string& out,
                 json_fault&);
void read_scalar(const Json::Value&, const std::string& path, duration& out, json_fault&);
void read_scalar(const Json::Value&, const std::string& path, key_hash& out, json_fault&);
void read_scalar(const Json::Value&,
                 const std::string& path,
                 hash_range& out,
                 json_fault&);
void read_scalar(const Json::Value&, const std::string& path, epoch& out, json_fault&);
void read_scalar(const Json::Value&,
                 const std::string& path,
                 config_version& out,
                 json_fault&);
void read_scalar(const Json::Value&, const std::string& path, outcome& out, json_fault&);
void read_scalar(const Json::Value&,
                 const std::string& path,
                 server_condition& out,
                 json_fault&);

template<class Tag>
void read_scalar(const Json::Value& value,
                 const std::string& path,
                 tagged_string<Tag>& out,
                 json_fault& fault)
{
    std::string text;
    read_scalar(value, path, text, fault);
    out = tagged_string<Tag>(std::move(text));
}

Json::Value write_scalar(bool value);
Json::Value write_scalar(unsigned value);
Json::Value write_scalar(std::uint64_t value);
Json::Value write_scalar(const std::string& value);
Json::Value write_scalar(duration value);
Json::Value write_scalar(key_hash value);
Json::Value write_scalar(const hash_range& value);
Json::Value write_scalar(epoch value);
Json::Value write_scalar(config_version value);
Json::Value write_scalar(outcome value);
Json::Value write_scalar(server_condition value);

template<class Tag>
Json::Value write_scalar(const tagged_string<Tag>& value)
{
    return write_scalar(value.str());
}

} // namespace camphorrock
