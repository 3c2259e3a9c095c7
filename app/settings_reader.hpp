#pragma once

// Reads a YAML settings file strictly. Unknown, missing and duplicate keys, wrong types,
// values out of range and contradictions are collected, each with file, line and key, so
// that an operator sees all faults of a file at once.
//
//     result<settings_reader> reader = settings_reader::from_file("router.yaml");
//     settings_map root = reader->root();
//     settings.listen = root.require_endpoint("listen");
//     settings.slots = root.integer_or("slots", {1, 64}, 3);
//     if (settings.low > settings.high) root.add_fault("low", "must not exceed high");
//     BOOST_LEAF_CHECK(reader->finish());
//
// A read that fails records a fault and returns the fallback, the lower end of the
// allowed range or an empty value, so that the caller can read on. A settings_map is a
// cheap view that shares ownership of the document.

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

// An inclusive range.
struct integer_range
{
    std::int64_t first;
    std::int64_t last;
};

// An inclusive range.
struct number_range
{
    double first;
    double last;
};

// An inclusive range.
struct duration_range
{
    duration first;
    duration last;
};

struct named_settings_map;

// A view of one mapping of the file.
class settings_map
{
public:
    struct state;
    explicit settings_map(std::shared_ptr<state> shared) : state_(std::move(shared)) {}

    // True if the key is present. Like a read, this marks the key as known.
    bool has(const std::string& key) const;

    // A scalar that is not empty.
    std::string require_text(const std::string& key);
    std::string text_or(const std::string& key, std::string fallback);

    std::int64_t require_integer(const std::string& key, integer_range allowed);
    std::int64_t
    integer_or(const std::string& key, integer_range allowed, std::int64_t fallback);

    double number_or(const std::string& key, number_range allowed, double fallback);

    bool flag_or(const std::string& key, bool fallback);

    // A whole number of milliseconds. By convention the key ends in _ms.
    duration
    milliseconds_or(const std::string& key, duration_range allowed, duration fallback);

    // "IP:port" with an IPv4 address, or "[IP]:port" with an IPv6 address. Port 0 is
    // allowed: a listen address with port 0 is bound to any free port.
    endpoint require_endpoint(const std::string& key);
    endpoint endpoint_or(const std::string& key, endpoint fallback);

    // Lists. Return an empty list if the key is absent.
    std::vector<std::string> texts(const std::string& key);
    std::vector<endpoint> endpoints(const std::string& key);
    std::vector<settings_map> maps(const std::string& key);

    // A mapping of names to mappings, in the order of the file. Returns an empty list if
    // the key is absent.
    std::vector<named_settings_map> named_maps(const std::string& key);

    // The nested mapping of a key. Returns an empty mapping if the key is absent.
    settings_map map(const std::string& key);

    // The enum value that has the given name in `names`.
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
            add_fault(key, "must be one of " + allowed);
        }
        return value.value_or(fallback);
    }

    // Records a fault that the caller found at that key, such as a contradiction.
    void add_fault(const std::string& key, const std::string& text);

private:
    std::shared_ptr<state> state_;
};

struct named_settings_map
{
    std::string name;
    settings_map map;
};

class settings_reader
{
public:
    struct document;

    // Fails with not_found if the file cannot be opened, with invalid_argument if it is
    // not YAML or its root is not a mapping.
    static result<settings_reader> from_file(const std::string& path);

    // Reads the settings from `text`; faults give `name` as the file.
    static result<settings_reader> from_text(const std::string& name,
                                             const std::string& text);

    settings_map root() const;

    // Must be called after all reads. Records a fault for each key that was not read, and
    // fails with invalid_argument and all faults, one per line, in the order of the file.
    result<void> finish();

    // All faults recorded so far, in the order of the file.
    std::vector<settings_fault> faults() const;

private:
    explicit settings_reader(std::shared_ptr<document> loaded)
        : document_(std::move(loaded))
    {
    }
    std::shared_ptr<document> document_;
};

} // namespace camphorrock
