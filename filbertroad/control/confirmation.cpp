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
    bool found_self = false;
    for (auto const& member : members)
    {
        auto const id = wire::to_model(member.id());
        zones.insert(member.zone());
        if (id == self)
        {
            found_self = true;
            this->own_zone = member.zone();
        }
        else
        {
            peers.emplace(id, member.zone());
        }
    }
    if (peers != this->peer_zones || found_self != this->is_member)
    {
        this->members_offset = this->offset;
    }
    this->is_member = found_self;
    this->spans_zones = zones.size() > 1;
    this->peer_zones = std::move(peers);
    std::erase_if(this->answers,
                  [this](auto const& item) { return !this->peer_zones.contains(item.first); });
    std::erase_if(this->peer_offsets,
                  [this](auto const& item) { return !this->peer_zones.contains(item.first); });
}

void entry_confirmation::set_linked_agents(std::size_t linked, std::size_t registered)
{
    this->agents_majority = linked * 2 > registered;
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
    this->readable = true;
    this->log_as_of = this->log_as_of ? std::max(*this->log_as_of, sent_at) : sent_at;
}

void entry_confirmation::log_read_failed(base::steady_time now)
{
    this->readable = false;
    this->failed_at = now;
}

bool entry_confirmation::probe_answered(model::process_id const& peer,
                                        wire::probe_reply const& reply, base::steady_time sent_at)
{
    if (!this->peer_zones.contains(peer))
    {
        return false;
    }
    this->peer_offset_seen(peer, reply.state_offset());
    auto const known = this->answers.find(peer);
    if (known == this->answers.end() || known->second.sent_at <= sent_at)
    {
        this->answers[peer] = {reply, sent_at};
    }
    if (reply.state_offset() > this->offset)
    {
        return true;
    }
    if (reply.confirmed() && reply.state_offset() == this->offset)
    {
        // The peer answered after `sent_at`, so that its knowledge is at least this recent. Ages
        // are rounded up, so that two entries cannot confirm each other for ever.
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
    return this->readable;
}

bool entry_confirmation::is_majority_acknowledged() const
{
    std::size_t const own = this->is_member ? 1 : 0;
    auto const peers = static_cast<std::size_t>(
        std::count_if(this->peer_offsets.begin(), this->peer_offsets.end(),
                      [this](auto const& item) { return item.second >= this->members_offset; }));
    return (own + peers) * 2 > own + this->peer_zones.size();
}

bool entry_confirmation::is_view_settled(base::steady_time now) const
{
    return this->is_majority_acknowledged() ||
           std::any_of(this->answers.begin(), this->answers.end(),
                       [&](auto const& item)
                       {
                           auto const& [reply, sent_at] = item.second;
                           return reply.confirmed() && now - sent_at <= confirmation_max_age &&
                                  reply.state_offset() >= this->members_offset;
                       });
}

std::optional<base::steady_time> entry_confirmation::outage_as_of(base::steady_time now) const
{
    if (this->readable || !this->failed_at || !this->is_member || !this->agents_majority)
    {
        return {};
    }
    std::vector<base::steady_time> times;
    std::optional<base::steady_time> other_zone;
    for (auto const& [peer, answer] : this->answers)
    {
        if (now - answer.sent_at > confirmation_max_age)
        {
            continue;
        }
        if (answer.reply.log_readable() || answer.reply.state_offset() > this->offset)
        {
            return {};
        }
        if (answer.reply.state_offset() < this->members_offset)
        {
            // A member that has not folded this view may support an outage mode in the older one.
            continue;
        }
        times.push_back(answer.sent_at);
        if (this->peer_zones.at(peer) != this->own_zone)
        {
            other_zone = other_zone ? std::max(*other_zone, answer.sent_at) : answer.sent_at;
        }
    }
    // This entry and `needed` peers are more than half of the members.
    auto const needed = (this->peer_zones.size() + 1) / 2;
    if (times.size() < needed || (this->spans_zones && !other_zone))
    {
        return {};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    auto as_of = needed == 0 ? *this->failed_at : times[needed - 1];
    return other_zone && this->spans_zones ? std::min(as_of, *other_zone) : as_of;
}

std::optional<entry_confirmation::knowledge>
entry_confirmation::newest_knowledge(base::steady_time now) const
{
    std::optional<knowledge> newest;
    auto const consider = [&](confirmation_source source, std::optional<base::steady_time> as_of)
    {
        if (as_of && (!newest || *as_of > newest->as_of))
        {
            newest = {source, *as_of};
        }
    };
    if (!this->acknowledgement_required || this->is_majority_acknowledged())
    {
        consider(confirmation_source::log, this->log_as_of);
        consider(confirmation_source::peer, this->peer_as_of);
    }
    consider(confirmation_source::outage, this->outage_as_of(now));
    return newest;
}

bool entry_confirmation::is_confirmed(base::steady_time now) const
{
    auto const known = this->newest_knowledge(now);
    return known && now - known->as_of <= confirmation_max_age;
}

std::optional<std::chrono::milliseconds> entry_confirmation::age(base::steady_time now) const
{
    auto const known = this->newest_knowledge(now);
    if (!known)
    {
        return {};
    }
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::ceil<std::chrono::milliseconds>(now - known->as_of));
}

confirmation_source entry_confirmation::source(base::steady_time now) const
{
    return this->is_confirmed(now) ? this->newest_knowledge(now)->source
                                   : confirmation_source::none;
}

wire::probe_reply entry_confirmation::answer_probe(base::steady_time now) const
{
    wire::probe_reply reply;
    reply.set_log_readable(this->readable);
    reply.set_state_offset(this->offset);
    // An entry in outage mode answers only what it sees of the log: each entry counts the members
    // for itself, since one in another part of a network may not count the same.
    auto const known = this->newest_knowledge(now);
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
