#include "core/gateway/links/peer_choice.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

using candidate_list = std::vector<const fleet_gateway*>;

const fleet_gateway* draw(const candidate_list& from, std::minstd_rand& random)
{
    return from[random() % from.size()];
}

} // namespace

void peer_choice::set_fleet(const std::vector<fleet_gateway>& fleet,
                            const fleet_gateway& self)
{
    zone_ = self.zone;
    others_.clear();
    std::copy_if(fleet.begin(),
                 fleet.end(),
                 std::back_inserter(others_),
                 [&](const fleet_gateway& it) { return it.peer != self.peer; });
    std::erase_if(rows_, [](const auto& it) { return it.second.in_flight == 0; });
}

bool peer_choice::is_candidate(const fleet_gateway& it,
                               const std::vector<endpoint>& excluded,
                               time_point now) const
{
    if (std::find(excluded.begin(), excluded.end(), it.peer) != excluded.end())
    {
        return false;
    }
    const auto found = rows_.find(it.peer);
    return found == rows_.end() ||
           (now >= found->second.left_out_until && now >= found->second.cut_off_until &&
            found->second.in_flight < options_.max_in_flight);
}

unsigned peer_choice::cost(const fleet_gateway& it) const
{
    const auto found = rows_.find(it.peer);
    const unsigned in_flight = found == rows_.end() ? 0 : found->second.in_flight;
    return in_flight + (it.zone == zone_ ? 0 : options_.remote_zone_cost);
}

std::optional<endpoint> peer_choice::choose(const std::vector<endpoint>& excluded,
                                            std::minstd_rand& random,
                                            time_point now) const
{
    if (now < isolated_until_)
    {
        return std::nullopt;
    }
    candidate_list all;
    candidate_list near;
    for (const fleet_gateway& it : others_)
    {
        if (is_candidate(it, excluded, now))
        {
            all.push_back(&it);
            if (it.zone == zone_)
            {
                near.push_back(&it);
            }
        }
    }
    if (all.empty())
    {
        return std::nullopt;
    }
    const candidate_list drawn{
        draw(near.empty() ? all : near, random), draw(all, random), draw(all, random)};
    const auto best = std::min_element(drawn.begin(),
                                       drawn.end(),
                                       [this](const auto* a, const auto* b)
                                       { return cost(*a) < cost(*b); });
    return (*best)->peer;
}

void peer_choice::note_cut_off(const endpoint& peer, bool is_cut_off, time_point now)
{
    row& it = rows_[peer];
    it.cut_off_until = is_cut_off ? now + options_.cut_off_memory : time_point{};
    it.left_out_until = is_cut_off ? it.left_out_until : time_point{};
}

void peer_choice::started(const endpoint& peer)
{
    ++rows_[peer].in_flight;
}

void peer_choice::ended(const endpoint& peer, peer_end how, time_point now)
{
    row& it = rows_[peer];
    it.in_flight -= it.in_flight > 0 ? 1 : 0;
    losses_ = how == peer_end::lost ? losses_ + 1 : 0;
    if (losses_ >= options_.losses_to_isolation)
    {
        isolated_until_ = now + options_.isolation_pause;
    }
    switch (how)
    {
    case peer_end::taken:
        break;
    case peer_end::declined:
        it.left_out_until = now + options_.declined_pause;
        break;
    case peer_end::lost:
        it.left_out_until = now + options_.lost_pause;
        break;
    }
}

} // namespace camphorrock
