#include "filbertroad/submission/internal/recovery.hpp"

#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <utility>

namespace filbertroad::submission::internal
{
namespace
{

bool contains(std::span<model::process_id const> ids, model::process_id const& id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

bool recovery::start_fence(std::uint64_t view, std::span<model::process_id const> removed,
                           agent_table const& agents, base::steady_time now)
{
    std::erase_if(this->rounds,
                  [&](auto const& entry)
                  {
                      auto const& members = entry.second.removed;
                      return std::none_of(members.begin(), members.end(),
                                          [&](auto const& member)
                                          { return contains(removed, member); });
                  });
    fence_round next;
    for (auto const& member : removed)
    {
        auto const covered =
            std::any_of(this->rounds.begin(), this->rounds.end(),
                        [&](auto const& entry)
                        { return entry.second.active && contains(entry.second.removed, member); });
        if (!covered)
        {
            next.removed.push_back(member);
        }
    }
    if (next.removed.empty())
    {
        return false;
    }
    next.started = now;
    for (auto const& [id, agent] : agents.all())
    {
        if (agent.recently_registered)
        {
            next.ledgers[id] = {};
        }
    }
    this->rounds.insert_or_assign(view, std::move(next));
    return true;
}

void recovery::ownership_lost()
{
    for (auto& [view, round] : this->rounds)
    {
        round.active = false;
    }
}

std::vector<wire::fence> recovery::fences_for(model::process_id const& agent)
{
    std::vector<wire::fence> fences;
    for (auto& [view, round] : this->rounds)
    {
        auto const found = round.ledgers.find(agent);
        if (round.active && found != round.ledgers.end() &&
            found->second.state != ledger_state::reported)
        {
            found->second.reported_tasks.clear();
            found->second.report_expected = true;
            fences.push_back(make_fence(view, round));
        }
    }
    return fences;
}

std::vector<wire::fence> recovery::repeat_fence(std::uint64_t view, model::process_id const& agent)
{
    auto const round = this->rounds.find(view);
    if (round == this->rounds.end())
    {
        return {};
    }
    auto& ledger = round->second.ledgers[agent];
    ledger.reported_tasks.clear();
    ledger.report_expected = true;
    return {make_fence(view, round->second)};
}

bool recovery::is_excluded(model::process_id const& owner) const
{
    return std::any_of(this->rounds.begin(), this->rounds.end(),
                       [&](auto const& entry) { return contains(entry.second.removed, owner); });
}

std::optional<std::set<task_identity>> recovery::add_report(wire::ledger_report const& report)
{
    auto const round = this->rounds.find(report.view());
    if (round == this->rounds.end())
    {
        return std::nullopt;
    }
    auto const found = round->second.ledgers.find(wire::to_model(report.agent()));
    if (found == round->second.ledgers.end())
    {
        return std::nullopt;
    }
    auto& ledger = found->second;
    if (!ledger.report_expected)
    {
        return std::nullopt;
    }
    for (auto const& entry : report.entries())
    {
        ledger.reported_tasks.insert({wire::job_id_of(entry.task()), entry.task().index()});
    }
    if (!report.last())
    {
        return std::nullopt;
    }
    ledger.state = ledger_state::reported;
    ledger.report_expected = false;
    return std::exchange(ledger.reported_tasks, {});
}

bool recovery::expire(agent_table const& agents, base::steady_time now)
{
    bool changed = false;
    for (auto& [view, round] : this->rounds)
    {
        auto const timed_out = now - round.started >= this->options.fence_timeout;
        for (auto& [id, ledger] : round.ledgers)
        {
            if (ledger.state == ledger_state::pending &&
                (timed_out || agents.newer_incarnation(id)))
            {
                ledger.state = ledger_state::lost;
                changed = true;
            }
        }
    }
    return changed;
}

bool recovery::is_complete(bool after_ownership, base::steady_time now) const
{
    return std::all_of(this->rounds.begin(), this->rounds.end(),
                       [&](auto const& entry)
                       {
                           auto const& round = entry.second;
                           if (!round.active)
                           {
                               return true;
                           }
                           auto const stale_views_excluded =
                               after_ownership ||
                               now - round.started >= this->options.confirmation_max_age;
                           return stale_views_excluded &&
                                  std::all_of(round.ledgers.begin(), round.ledgers.end(),
                                              [](auto const& item) {
                                                  return item.second.state != ledger_state::pending;
                                              });
                       });
}

bool recovery::is_in_doubt(base::system_time created, agent_table const& agents) const
{
    for (auto const& [view, round] : this->rounds)
    {
        for (auto const& [id, ledger] : round.ledgers)
        {
            if (!round.active || ledger.state != ledger_state::lost)
            {
                continue;
            }
            // The agent had ended when its successor started, so it cannot hold keys that were
            // created later. The successor's clock and the caller's clock may each be off by the
            // clock skew.
            auto const successor = agents.newer_incarnation(id);
            if (!successor ||
                created <= base::from_unix_ms(*successor) + 2 * this->options.clock_skew)
            {
                return true;
            }
        }
    }
    return false;
}

wire::fence recovery::make_fence(std::uint64_t view, fence_round const& round)
{
    wire::fence fence;
    fence.set_view(view);
    for (auto const& member : round.removed)
    {
        *fence.add_removed() = wire::to_wire(member);
    }
    return fence;
}

} // namespace filbertroad::submission::internal
