#include "filbertroad/control/confirmation.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <vector>

namespace filbertroad::control
{

void entry_confirmation::set_members(model::process_id const& self,
                                     std::span<wire::member const> members)
{
    std::map<model::process_id, std::string> peers;
    std::set<std::string> zones;
    bool is_listed = false;
    for (auto const& member : members)
    {
        auto const id = wire::to_model(member.id());
        zones.insert(member.zone());
        if (id == self)
        {
            is_listed = true;
            this->own_zone = member.zone();
        }
        else
        {
            peers.emplace(id, member.zone());
        }
    }
    if (peers != this->peer_zones || is_listed != this->is_member)
    {
        this->members_offset = this->offset;
    }
    this->is_member = is_listed;
    this->has_multiple_zones = zones.size() > 1;
    this->peer_zones = std::move(peers);
    std::erase_if(this->probe_replies,
                  [this](auto const& item) { return !this->peer_zones.contains(item.first); });
    std::erase_if(this->peer_offsets,
                  [this](auto const& item) { return !this->peer_zones.contains(item.first); });
}

void entry_confirmation::set_linked_agents(std::size_t linked, std::size_t registered)
{
    this->has_agent_majority = linked * 2 > registered;
}

void entry_confirmation::require_acknowledged_views()
{
    this->acknowledgement_required = true;
}

void entry_confirmation::state_advanced(std::uint64_t state_offset)
{
    if (state_offset > this->offset)
    {
        this->offset = state_offset;
    }
}

void entry_confirmation::log_read_finished(base::steady_time sent_at, std::uint64_t state_offset)
{
    this->state_advanced(state_offset);
    this->log_is_readable = true;
    this->log_as_of = this->log_as_of ? std::max(*this->log_as_of, sent_at) : sent_at;
}

void entry_confirmation::log_read_failed(base::steady_time now)
{
    this->log_is_readable = false;
    this->log_failed_at = now;
}

bool entry_confirmation::probe_answered(model::process_id const& peer,
                                        wire::probe_reply const& reply, base::steady_time sent_at)
{
    if (!this->peer_zones.contains(peer))
    {
        return false;
    }
    this->peer_offset_seen(peer, reply.state_offset());
    auto const known = this->probe_replies.find(peer);
    if (known == this->probe_replies.end() || known->second.sent_at <= sent_at)
    {
        this->probe_replies[peer] = {reply, sent_at};
    }
    if (reply.state_offset() > this->offset)
    {
        return true;
    }
    if (reply.confirmed() && reply.state_offset() == this->offset)
    {
        // The peer replied after `sent_at`, so that its evidence is at least this recent. Ages are
        // rounded up; otherwise two entries could confirm each other indefinitely.
        auto const as_of = sent_at - std::chrono::milliseconds(reply.confirmation_age_ms());
        this->peer_as_of = this->peer_as_of ? std::max(*this->peer_as_of, as_of) : as_of;
    }
    return false;
}

void entry_confirmation::peer_offset_seen(model::process_id const& peer, std::uint64_t state_offset)
{
    if (this->peer_zones.contains(peer))
    {
        auto& known = this->peer_offsets[peer];
        known = std::max(known, state_offset);
    }
}

bool entry_confirmation::log_readable() const
{
    return this->log_is_readable;
}

bool entry_confirmation::is_view_acknowledged_by_majority() const
{
    std::size_t const own = this->is_member ? 1 : 0;
    auto const peers = static_cast<std::size_t>(
        std::count_if(this->peer_offsets.begin(), this->peer_offsets.end(),
                      [this](auto const& item) { return item.second >= this->members_offset; }));
    return (own + peers) * 2 > own + this->peer_zones.size();
}

bool entry_confirmation::is_view_stable(base::steady_time now) const
{
    return this->is_view_acknowledged_by_majority() ||
           std::any_of(this->probe_replies.begin(), this->probe_replies.end(),
                       [&](auto const& item)
                       {
                           auto const& [reply, sent_at] = item.second;
                           return reply.confirmed() && now - sent_at <= confirmation_max_age &&
                                  reply.state_offset() >= this->members_offset;
                       });
}

std::optional<base::steady_time> entry_confirmation::outage_as_of(base::steady_time now) const
{
    if (this->log_is_readable || !this->log_failed_at || !this->is_member ||
        !this->has_agent_majority)
    {
        return {};
    }
    std::vector<base::steady_time> reply_times;
    std::optional<base::steady_time> other_zone_as_of;
    for (auto const& [peer, received] : this->probe_replies)
    {
        if (now - received.sent_at > confirmation_max_age)
        {
            continue;
        }
        if (received.reply.log_readable() || received.reply.state_offset() > this->offset)
        {
            return {};
        }
        if (received.reply.state_offset() < this->members_offset)
        {
            // A member that has not applied this view may support an outage mode in an older view.
            continue;
        }
        reply_times.push_back(received.sent_at);
        if (this->peer_zones.at(peer) != this->own_zone)
        {
            other_zone_as_of =
                other_zone_as_of ? std::max(*other_zone_as_of, received.sent_at) : received.sent_at;
        }
    }
    // This entry together with `needed_peers` peers is more than half of the members.
    auto const needed_peers = (this->peer_zones.size() + 1) / 2;
    if (reply_times.size() < needed_peers || (this->has_multiple_zones && !other_zone_as_of))
    {
        return {};
    }
    std::sort(reply_times.begin(), reply_times.end(), std::greater<>());
    auto as_of = needed_peers == 0 ? *this->log_failed_at : reply_times[needed_peers - 1];
    return other_zone_as_of && this->has_multiple_zones ? std::min(as_of, *other_zone_as_of)
                                                        : as_of;
}

std::optional<entry_confirmation::evidence>
entry_confirmation::newest_evidence(base::steady_time now) const
{
    std::optional<evidence> newest;
    auto const consider = [&](confirmation_source source, std::optional<base::steady_time> as_of)
    {
        if (as_of && (!newest || *as_of > newest->as_of))
        {
            newest = {source, *as_of};
        }
    };
    if (!this->acknowledgement_required || this->is_view_acknowledged_by_majority())
    {
        consider(confirmation_source::log, this->log_as_of);
        consider(confirmation_source::peer, this->peer_as_of);
    }
    consider(confirmation_source::outage, this->outage_as_of(now));
    return newest;
}

bool entry_confirmation::is_confirmed(base::steady_time now) const
{
    auto const known = this->newest_evidence(now);
    return known && now - known->as_of <= confirmation_max_age;
}

std::optional<std::chrono::milliseconds> entry_confirmation::age(base::steady_time now) const
{
    auto const known = this->newest_evidence(now);
    if (!known)
    {
        return {};
    }
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::ceil<std::chrono::milliseconds>(now - known->as_of));
}

confirmation_source entry_confirmation::source(base::steady_time now) const
{
    return this->is_confirmed(now) ? this->newest_evidence(now)->source : confirmation_source::none;
}

wire::probe_reply entry_confirmation::make_probe_reply(base::steady_time now) const
{
    wire::probe_reply reply;
    reply.set_log_readable(this->log_is_readable);
    reply.set_state_offset(this->offset);
    // Outage mode does not count as confirmed towards peers: each entry counts the members it can
    // reach itself, since an entry in another partition may not reach the same members.
    auto const known = this->newest_evidence(now);
    reply.set_confirmed(known && known->source != confirmation_source::outage &&
                        this->is_confirmed(now));
    if (reply.confirmed())
    {
        reply.set_confirmation_age_ms(static_cast<std::uint32_t>(this->age(now)->count()));
    }
    reply.set_zone(this->own_zone);
    return reply;
}

} // namespace filbertroad::control
