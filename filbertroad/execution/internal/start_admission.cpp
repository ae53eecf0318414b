#include "filbertroad/execution/internal/start_admission.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>

namespace filbertroad::execution::internal
{
namespace
{

/// Maximum number of fenced names. Beyond it, the name of the oldest fence is evicted. Its member
/// is still refused, because it is not in the newest view.
constexpr std::size_t max_fenced_names = 4096;

/// Announcements and the notice that the target is leaving arrive on two connections. An
/// announcement that arrives within this time after the notice may have been sent before it.
constexpr std::chrono::milliseconds announcement_reorder_window{500};

template <class States>
bool is_in_service(States const& states, std::string const& name)
{
    return std::none_of(states.begin(), states.end(),
                        [&](auto const& state)
                        { return state.name() == name && !state.in_service(); });
}

} // namespace

start_admission::start_admission(std::string zone, agent_options const& options)
    : zone(std::move(zone)), options(options)
{
}

void start_admission::state_received(wire::agent_state const& state)
{
    if (this->has_state && state.offset() <= this->newest_state.offset())
    {
        return;
    }
    this->newest_state = state;
    this->has_state = true;
    this->newest_view = std::max<std::uint64_t>(this->newest_view, state.view());
    this->zone_in_service = is_in_service(state.zones(), this->zone);
    this->targets_out_of_service.clear();
    for (auto const& target : state.targets())
    {
        if (!target.in_service())
        {
            this->targets_out_of_service.insert(target.name());
        }
    }
    std::erase_if(this->promised_views, [&](auto const& item)
                  { return state.view() > item.second && this->is_member(item.first); });
    for (auto const& [entry, confirmation] : this->confirmations)
    {
        this->apply_confirmation(entry, confirmation);
    }
    std::erase_if(this->confirmations,
                  [this](auto const& item) { return !this->is_member(item.first); });
}

void start_admission::pong_received(model::process_id const& entry, wire::pong const& pong,
                                    base::steady_time now)
{
    auto const sent_at = base::steady_time(std::chrono::duration_cast<base::steady_time::duration>(
        std::chrono::nanoseconds(pong.echoed_steady_ns())));
    if (!pong.confirmed() || sent_at > now)
    {
        return;
    }
    auto const as_of = sent_at - std::chrono::milliseconds(pong.confirmation_age_ms());
    auto& confirmation = this->confirmations[entry];
    if (as_of >= confirmation.as_of)
    {
        confirmation = {as_of, pong.state_offset()};
        this->apply_confirmation(entry, confirmation);
    }
    if (!this->has_state && this->confirmations.size() > max_fenced_names)
    {
        this->confirmations.clear();
    }
}

void start_admission::apply_confirmation(model::process_id const& entry,
                                         entry_confirmation const& confirmation)
{
    // The confirmation applies to the state of the entry, so that the state of the agent must be at
    // least as new.
    if (!this->has_state || confirmation.offset > this->newest_state.offset() ||
        !this->is_member(entry) || this->is_excluded(entry))
    {
        return;
    }
    this->confirmed_as_of = this->confirmed_as_of
                                ? std::max(*this->confirmed_as_of, confirmation.as_of)
                                : confirmation.as_of;
}

bool start_admission::target_announced(wire::target_description const& target,
                                       base::steady_time now)
{
    auto const before = this->target().SerializeAsString();
    if (target.leaving())
    {
        this->target_leaving(now);
    }
    else if (this->leaving && now - this->leaving_at >= announcement_reorder_window)
    {
        this->leaving = false;
    }
    this->announced_target = target;
    this->announced_at = now;
    this->reachable = true;
    return this->target().SerializeAsString() != before;
}

bool start_admission::target_leaving(base::steady_time now)
{
    this->leaving_at = now;
    return !std::exchange(this->leaving, true);
}

bool start_admission::start_draining()
{
    return !std::exchange(this->draining, true);
}

bool start_admission::check_target_timeout(base::steady_time now)
{
    if (!this->reachable || now - this->announced_at < this->options.announcement_timeout)
    {
        return false;
    }
    this->reachable = false;
    return true;
}

wire::target_description start_admission::target() const
{
    auto target = this->announced_target.value_or(wire::target_description());
    target.set_leaving(this->leaving || this->draining);
    target.set_reachable(this->reachable);
    return target;
}

bool start_admission::fence(model::process_id const& sender, wire::fence const& fence)
{
    // The sender of a fence of an older view may have been removed since.
    if (this->is_excluded(sender) || (fence.view() < this->newest_view && !this->is_member(sender)))
    {
        return false;
    }
    this->newest_view = std::max<std::uint64_t>(this->newest_view, fence.view());
    for (auto const& id : fence.removed())
    {
        auto& excluded = this->fenced_names[id.name()];
        excluded.incarnation = std::max<std::uint64_t>(excluded.incarnation, id.incarnation());
        excluded.view = std::max<std::uint64_t>(excluded.view, fence.view());
    }
    while (this->fenced_names.size() > max_fenced_names)
    {
        this->fenced_names.erase(
            std::min_element(this->fenced_names.begin(), this->fenced_names.end(),
                             [](auto const& left, auto const& right)
                             { return left.second.view < right.second.view; }));
    }
    return true;
}

void start_admission::promise(model::process_id const& missing, std::uint64_t view)
{
    auto& promised_view = this->promised_views[missing];
    promised_view = std::max(promised_view, view);
}

bool start_admission::is_excluded(model::process_id const& entry) const
{
    auto const fence = this->fenced_names.find(entry.name);
    return (fence != this->fenced_names.end() && entry.incarnation <= fence->second.incarnation) ||
           this->promised_views.contains(entry);
}

bool start_admission::is_member(model::process_id const& entry) const
{
    auto const& members = this->newest_state.members();
    return std::any_of(members.begin(), members.end(),
                       [&](auto const& member) { return wire::to_model(member.id()) == entry; });
}

std::optional<wire::refusal> start_admission::find_refusal(model::process_id const& entry,
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
    return this->find_agent_refusal(now);
}

std::optional<wire::refusal> start_admission::find_agent_refusal(base::steady_time now) const
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

std::optional<wire::refusal> start_admission::find_target_refusal(base::steady_time now) const
{
    if (this->leaving || this->draining)
    {
        return wire::refusal_target_leaving;
    }
    if (!this->reachable || now - this->announced_at >= this->options.announcement_timeout)
    {
        return wire::refusal_target_unreachable;
    }
    if (this->targets_out_of_service.contains(this->announced_target->name()))
    {
        return wire::refusal_target_out;
    }
    return {};
}

base::steady_time start_admission::confirmed_until() const
{
    return this->confirmed_as_of.value_or(base::steady_time()) + this->options.confirmation_max_age;
}

} // namespace filbertroad::execution::internal
