#include "filbertroad/execution/internal/start_gate.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>

namespace filbertroad::execution::internal
{
namespace
{

/// Names of excluded members that are kept. Beyond it the one of the oldest fence is forgotten; a
/// removed member that is forgotten is still refused, because it is not in the newest view.
constexpr std::size_t max_fenced_names = 4096;

/// An announcement and the word that the target is leaving come on two connections. One that
/// arrives within this time may have been sent before.
constexpr std::chrono::milliseconds crossing_time{500};

template <class States>
bool is_in_service(States const& states, std::string const& name)
{
    return std::none_of(states.begin(), states.end(),
                        [&](auto const& state)
                        { return state.name() == name && !state.in_service(); });
}

} // namespace

start_gate::start_gate(std::string zone, agent_options const& options)
    : zone(std::move(zone)), options(options)
{
}

void start_gate::state_received(wire::agent_state const& state)
{
    if (this->has_state && state.offset() <= this->newest.offset())
    {
        return;
    }
    this->newest = state;
    this->has_state = true;
    this->newest_view = std::max<std::uint64_t>(this->newest_view, state.view());
    this->zone_in_service = is_in_service(state.zones(), this->zone);
    this->targets_out.clear();
    for (auto const& target : state.targets())
    {
        if (!target.in_service())
        {
            this->targets_out.insert(target.name());
        }
    }
    std::erase_if(this->promised, [&](auto const& item)
                  { return state.view() > item.second && this->is_member(item.first); });
    for (auto const& [entry, given] : this->confirmations)
    {
        this->use_confirmation(entry, given);
    }
    std::erase_if(this->confirmations,
                  [this](auto const& item) { return !this->is_member(item.first); });
}

void start_gate::pong_received(model::process_id const& entry, wire::pong const& pong,
                               base::steady_time now)
{
    auto const sent_at = base::steady_time(std::chrono::duration_cast<base::steady_time::duration>(
        std::chrono::nanoseconds(pong.echoed_steady_ns())));
    if (!pong.confirmed() || sent_at > now)
    {
        return;
    }
    auto const as_of = sent_at - std::chrono::milliseconds(pong.confirmation_age_ms());
    auto& given = this->confirmations[entry];
    if (as_of >= given.as_of)
    {
        given = {as_of, pong.state_offset()};
        this->use_confirmation(entry, given);
    }
    if (!this->has_state && this->confirmations.size() > max_fenced_names)
    {
        this->confirmations.clear();
    }
}

void start_gate::use_confirmation(model::process_id const& entry, entry_confirmation const& given)
{
    // The confirmation is about the entry's state, so the agent's must be at least as new.
    if (!this->has_state || given.offset > this->newest.offset() || !this->is_member(entry) ||
        this->is_excluded(entry))
    {
        return;
    }
    this->confirmed_as_of =
        this->confirmed_as_of ? std::max(*this->confirmed_as_of, given.as_of) : given.as_of;
}

bool start_gate::target_announced(wire::target_description const& target, base::steady_time now)
{
    auto const before = this->target().SerializeAsString();
    if (target.leaving())
    {
        this->target_leaving(now);
    }
    else if (this->leaving && now - this->left_at >= crossing_time)
    {
        this->leaving = false;
    }
    this->description = target;
    this->announced_at = now;
    this->reachable = true;
    return this->target().SerializeAsString() != before;
}

bool start_gate::target_leaving(base::steady_time now)
{
    this->left_at = now;
    return !std::exchange(this->leaving, true);
}

bool start_gate::start_draining()
{
    return !std::exchange(this->draining, true);
}

bool start_gate::target_silent(base::steady_time now)
{
    if (!this->reachable || now - this->announced_at < this->options.announcement_timeout)
    {
        return false;
    }
    this->reachable = false;
    return true;
}

wire::target_description start_gate::target() const
{
    auto target = this->description.value_or(wire::target_description());
    target.set_leaving(this->leaving || this->draining);
    target.set_reachable(this->reachable);
    return target;
}

bool start_gate::fence(model::process_id const& sender, wire::fence const& fence)
{
    // A fence of an older view comes from an entry that may itself have been removed since.
    if (this->is_excluded(sender) || (fence.view() < this->newest_view && !this->is_member(sender)))
    {
        return false;
    }
    this->newest_view = std::max<std::uint64_t>(this->newest_view, fence.view());
    for (auto const& id : fence.removed())
    {
        auto& excluded = this->fenced[id.name()];
        excluded.incarnation = std::max<std::uint64_t>(excluded.incarnation, id.incarnation());
        excluded.view = std::max<std::uint64_t>(excluded.view, fence.view());
    }
    while (this->fenced.size() > max_fenced_names)
    {
        this->fenced.erase(std::min_element(this->fenced.begin(), this->fenced.end(),
                                            [](auto const& left, auto const& right)
                                            { return left.second.view < right.second.view; }));
    }
    return true;
}

void start_gate::promise(model::process_id const& missing, std::uint64_t view)
{
    auto& held = this->promised[missing];
    held = std::max(held, view);
}

bool start_gate::is_excluded(model::process_id const& entry) const
{
    auto const fence = this->fenced.find(entry.name);
    return (fence != this->fenced.end() && entry.incarnation <= fence->second.incarnation) ||
           this->promised.contains(entry);
}

bool start_gate::is_member(model::process_id const& entry) const
{
    auto const& members = this->newest.members();
    return std::any_of(members.begin(), members.end(),
                       [&](auto const& member) { return wire::to_model(member.id()) == entry; });
}

std::optional<wire::refusal> start_gate::find_refusal(model::process_id const& entry,
                                                      base::steady_time now) const
{
    if (this->is_excluded(entry))
    {
        return wire::refusal_fenced;
    }
    if (!this->is_member(entry))
    {
        return wire::refusal_unknown_owner;
    }
    return this->find_own_refusal(now);
}

std::optional<wire::refusal> start_gate::find_own_refusal(base::steady_time now) const
{
    if (!this->confirmed_as_of || now >= this->confirmed_until())
    {
        return wire::refusal_not_confirmed;
    }
    if (!this->zone_in_service)
    {
        return wire::refusal_zone_out;
    }
    return this->find_target_refusal(now);
}

std::optional<wire::refusal> start_gate::find_target_refusal(base::steady_time now) const
{
    if (this->leaving || this->draining)
    {
        return wire::refusal_target_leaving;
    }
    if (!this->reachable || now - this->announced_at >= this->options.announcement_timeout)
    {
        return wire::refusal_target_unreachable;
    }
    if (this->targets_out.contains(this->description->name()))
    {
        return wire::refusal_target_out;
    }
    return {};
}

base::steady_time start_gate::confirmed_until() const
{
    return this->confirmed_as_of.value_or(base::steady_time()) + this->options.confirmation_max_age;
}

} // namespace filbertroad::execution::internal
