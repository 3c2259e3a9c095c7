#pragma once

// Reads a YAML settings file strictly: unknown, missing and repeated keys, wrong types,
// values out of range and contradictions are all collected, each with file, line and key,
// so that an operator sees every fault of a file at once.
//
//     result<settings_reader> reader = settings_reader::from_file("router.yaml");
//     settings_map root = reader->root();
//     settings.listen = root.require_endpoint("listen");
//     settings.slots = root.integer_or("slots", {1, 64}, 3);
//     if (settings.low > settings.high) root.fault("low", "must not exceed high");
//     BOOST_LEAF_CHECK(reader->finish());
//
// A read that fails notes its fault and returns the fallback or an empty value, so
// reading goes on. Maps are cheap views; they keep the document alive.

#include "app/settings_fault.hpp"
#include "core/base/enum_names.hpp"
#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

// Both ends are allowed values.
struct integer_range
{
    std::int64_t first;
    std::int64_t last;
};

// Both ends are allowed values.
struct number_range
{
    double first;
    double last;
};

// Both ends are allowed values.
struct duration_range
{
    duration first;
    duration last;
};

struct settings_entry; // a settings_map with its name

// One mapping of the file.
class settings_map
{
public:
    struct state;
    explicit settings_map(std::shared_ptr<state> held) : held_(std::move(held)) {}

    bool has(const std::string& key) const;

    // A text that is not empty.
    std::string require_text(const std::string& key);
    std::string text_or(const std::string& key, std::string fallback);

    std::int64_t require_integer(const std::string& key, integer_range allowed);
    std::int64_t
    integer_or(const std::string& key, integer_range allowed, std::int64_t fallback);

    double number_or(const std::string& key, number_range allowed, double fallback);

    bool flag_or(const std::string& key, bool fallback);

    // Written in whole milliseconds; by custom the key ends in _ms.
    duration
    milliseconds_or(const std::string& key, duration_range allowed, duration fallback);

    // "IP:port" with an IPv4 address, or "[IP]:port" with an IPv6 address. Port 0 is
    // allowed: where one listens it stands for any free port.
    endpoint require_endpoint(const std::string& key);
    endpoint endpoint_or(const std::string& key, endpoint fallback);

    // Lists; empty where the key is absent.
    std::vector<std::string> texts(const std::string& key);
    std::vector<endpoint> endpoints(const std::string& key);
    std::vector<settings_map> maps(const std::string& key);

    // A mapping of names to mappings, in the order of the file; empty where the key is
    // absent.
    std::vector<settings_entry> named_maps(const std::string& key);

    // A mapping below this one; an empty one where the key is absent.
    settings_map map(const std::string& key);

    // A name of an enum, from its table.
    template<class Enum, std::size_t Count>
    Enum
    choice_or(const std::string& key, const enum_names<Enum, Count>& names, Enum fallback)
    {
        if (!has(key))
        {
            return fallback;
        }
        std::string text = require_text(key);
        std::optional<Enum> value = names.value(text);
        if (!value && !text.empty())
        {
            std::string allowed;
            for (const auto& it : names.rows)
            {
                allowed.append(allowed.empty() ? "" : ", ").append(it.name);
            }
            fault(key, "must be one of " + allowed);
        }
        return value.value_or(fallback);
    }

    // Notes a contradiction or another fault of the program's own at that key.
    void fault(const std::string& key, const std::string& text);

private:
    std::shared_ptr<state> held_;
};

struct settings_entry
{
    std::string name;
    settings_map map;
};

class settings_reader
{
public:
    struct document;

    // Fails if the file cannot be read, is not YAML or is no mapping.
    static result<settings_reader> from_file(const std::string& path);

    // The same for a text; `name` stands for the file in faults.
    static result<settings_reader> from_text(const std::string& name,
                                             const std::string& text);

    settings_map root() const;

    // Call when everything has been read: notes the keys that were not asked for and
    // fails with all faults, one a line, in the order of the file.
    result<void> finish();

    // All faults noted so far, in the order of the file.
    std::vector<settings_fault> faults() const;

private:
    explicit settings_reader(std::shared_ptr<document> held) : held_(std::move(held)) {}
    std::shared_ptr<document> held_;
};

} // namespace camphorrock
