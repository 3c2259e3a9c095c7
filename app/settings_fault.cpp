#include "app/settings_fault.hpp"

namespace camphorrock
{

std::string to_string(const settings_fault& fault)
{
    std::string text = fault.file + ":" + std::to_string(fault.line) + ": ";
    return text + (fault.key.empty() ? "" : fault.key + ": ") + fault.text;
}

std::string to_string(const std::vector<settings_fault>& faults)
{
    std::string lines;
    for (const settings_fault& it : faults)
    {
        lines.append(lines.empty() ? "" : "\n").append(to_string(it));
    }
    return lines;
}

} // namespace camphorrock
