#include "deployment.hpp"

#include "store.hpp"

#include <sstream>
#include <thread>

namespace review3
{

std::vector<int> ports_of(const std::string& list)
{
    std::vector<int> made;
    std::istringstream in(list);
    for (std::string part; std::getline(in, part, ',');)
    {
        made.push_back(std::stoi(part));
    }
    return made;
}

bool wait_ready(const std::vector<int>& ready_ports)
{
    const auto until = steady::now() + std::chrono::seconds(20);
    for (int port : ready_ports)
    {
        while (call(port, "GET", "/camphorrock/ready", {{"Host", "ready"}}, "", 500)
                   .status != 200)
        {
            if (steady::now() > until)
            {
                return false;
            }
            std::this_thread::sleep_for(ms(50));
        }
    }
    return true;
}

} // namespace review3
