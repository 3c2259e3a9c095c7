#include "store/assigner_directory.hpp"

namespace camphorrock
{
namespace
{

constexpr duration read_period = seconds(2);

} // namespace

void assigner_directory::start()
{
    read();
    timer_ = loop_.every(read_period, [this] { read(); });
}

void assigner_directory::read()
{
    instances_.read(
        [this](const std::optional<std::vector<instance_entry>>& got)
        {
            if (!got)
            {
                return;
            }
            peers_.clear();
            for (const instance_entry& it : *got)
            {
                if (it.role == instance_role::assigner)
                {
                    peers_.push_back(it.peer);
                }
            }
        });
}

} // namespace camphorrock
