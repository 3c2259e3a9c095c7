#pragma once

// One fault in a settings file.

#include <string>
#include <vector>

namespace camphorrock
{

struct settings_fault
{
    std::string file;
    int line = 0;     // from 1
    std::string key;  // path from the root, as in "services.catalogue.slots"
    std::string text; // what is wrong and what is allowed

    bool operator==(const settings_fault&) const = default;
};

// Formats a fault: "router.yaml:12: services.catalogue.slots: must be 1 to 64, not 0"
std::string to_string(const settings_fault& fault);

// Formats all faults, one per line, without a line break at the end.
std::string to_string(const std::vector<settings_fault>& faults);

} // namespace camphorrock
