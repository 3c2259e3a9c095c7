#pragma once

// The gateways of a case, as its program sees them.

#include <string>
#include <vector>

namespace review3
{

std::vector<int> ports_of(const std::string& list);

// False if a gateway does not report that it is ready within 20 s.
bool wait_ready(const std::vector<int>& ready_ports);

} // namespace review3
