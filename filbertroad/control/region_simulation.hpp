#ifndef FILBERTROAD_CONTROL_REGION_SIMULATION_HPP
#define FILBERTROAD_CONTROL_REGION_SIMULATION_HPP

/// Simulates a region in virtual time for tests. Entries run the real control_state,
/// entry_confirmation and membership; agents ping and promise like execution::agent_core. There is
/// one log, and tests can block the links, each direction on its own.
///
///     region_simulation region;
///     region.add_entry("e1", "lhr-a");
///     region.add_agent("g1", "lhr-a");
///     region.run(std::chrono::seconds(5));
///     region.block_link("e1", "e2");

#include "filbertroad/control/confirmation.hpp"
#include "filbertroad/control/membership.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace filbertroad::control
{

struct simulated_entry
{
    wire::member self;
    control_state state;
    entry_confirmation confirmation;
    control::membership membership;
    std::map<std::string, base::steady_time> agents_last_contact;
    bool paused = false;
    bool log_reachable = true;

    simulated_entry(wire::member member)
        : self(member), membership(std::move(member), membership_options{})
    {
        this->confirmation.require_acknowledged_views();
    }

    [[nodiscard]] model::process_id id() const { return wire::to_model(this->self.id()); }
};

struct simulated_agent
{
    wire::agent registration;
    std::map<std::string, base::steady_time> entries_last_contact;
    /// Newest view that the agent received from an entry.
    std::uint64_t view = 0;
    /// Entries that the agent promised to refuse, and the view of the promise. The agent keeps no
    /// link to them until a newer view lists them as members.
    std::map<model::process_id, std::uint64_t> promised_refusals;

    void learn_view(control_state const& state)
    {
        if (state.view() > this->view)
        {
            this->view = state.view();
            std::erase_if(this->promised_refusals, [&](auto const& item)
                          { return state.view() > item.second && state.is_member(item.first); });
        }
    }
};

class region_simulation
{
public:
    static constexpr std::chrono::milliseconds step_time{100};

    std::map<std::string, std::unique_ptr<simulated_entry>> entries;
    std::map<std::string, simulated_agent> agents;
    std::vector<wire::control_record> log;
    /// Blocked links, as pairs of sender and receiver.
    std::set<std::pair<std::string, std::string>> blocked_links;
    /// Number of appends to lose from now on. Appends are not acknowledged in this simulation, so
    /// that an entry cannot tell a lost append from a successful one until it reads the log.
    int appends_to_lose = 0;
    base::steady_time now{std::chrono::hours(1)};
    /// When an entry was first confirmed in each view.
    std::map<std::uint64_t, base::steady_time> first_confirmed;
    /// Set once an entry has relied on a view after another entry was confirmed in a newer one.
    std::string violation;

    simulated_entry& add_entry(std::string const& name, std::string const& zone)
    {
        wire::member member;
        member.mutable_id()->set_name(name);
        member.mutable_id()->set_incarnation(++this->incarnations);
        member.set_zone(zone);
        return *(this->entries[name] = std::make_unique<simulated_entry>(member));
    }

    void add_agent(std::string const& name, std::string const& zone)
    {
        auto& agent = this->agents[name];
        agent.registration.mutable_id()->set_name(name);
        agent.registration.mutable_id()->set_incarnation(1);
        agent.registration.set_zone(zone);
        agent.registration.set_service("pricing");
    }

    void block_link(std::string const& from, std::string const& to)
    {
        this->blocked_links.emplace(from, to);
    }
    void block_both_directions(std::string const& left, std::string const& right)
    {
        this->block_link(left, right);
        this->block_link(right, left);
    }

    /// Blocks all links between processes of the zone and processes of other zones.
    void isolate_zone(std::string const& zone)
    {
        auto const names = this->zones_by_name();
        for (auto const& [left, left_zone] : names)
        {
            for (auto const& [right, right_zone] : names)
            {
                if ((left_zone == zone) != (right_zone == zone))
                {
                    this->block_link(left, right);
                }
            }
        }
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto end = this->now + time; this->now < end;)
        {
            this->now += step_time;
            this->step();
        }
    }

    [[nodiscard]] bool confirmed(std::string const& name) const
    {
        return this->entries.at(name)->confirmation.is_confirmed(this->now);
    }

    [[nodiscard]] confirmation_source source(std::string const& name) const
    {
        return this->entries.at(name)->confirmation.source(this->now);
    }

    /// The state of a reader that has applied the whole log.
    [[nodiscard]] control_state replay() const
    {
        control_state state;
        for (auto const& record : this->log)
        {
            state.apply(state.next_offset(), record, this->wall());
        }
        return state;
    }

private:
    [[nodiscard]] bool reaches(std::string const& from, std::string const& to) const
    {
        return !this->blocked_links.contains({from, to});
    }

    [[nodiscard]] bool is_linked(std::string const& left, std::string const& right) const
    {
        return this->reaches(left, right) && this->reaches(right, left);
    }

    [[nodiscard]] base::system_time wall() const
    {
        return base::system_time(std::chrono::hours(24 * 365 * 55)) +
               std::chrono::duration_cast<std::chrono::milliseconds>(this->now.time_since_epoch());
    }

    [[nodiscard]] std::map<std::string, std::string> zones_by_name() const
    {
        std::map<std::string, std::string> names;
        for (auto const& [name, entry] : this->entries)
        {
            names[name] = entry->self.zone();
        }
        for (auto const& [name, agent] : this->agents)
        {
            names[name] = agent.registration.zone();
        }
        return names;
    }

    void step()
    {
        this->exchange_pings();
        for (auto& [name, entry] : this->entries)
        {
            if (!entry->paused)
            {
                this->step_entry(name, *entry);
            }
        }
        this->check_invariant();
    }

    void exchange_pings()
    {
        for (auto& [agent_name, agent] : this->agents)
        {
            for (auto& [entry_name, entry] : this->entries)
            {
                auto& last_contact = agent.entries_last_contact[entry_name];
                // The agent closes a link after 1.5 s without traffic; a new link needs both
                // directions.
                bool const open = this->now - last_contact <= std::chrono::milliseconds(1500) ||
                                  this->is_linked(agent_name, entry_name);
                if (!open || entry->paused || agent.promised_refusals.contains(entry->id()))
                {
                    continue;
                }
                if (this->reaches(agent_name, entry_name))
                {
                    entry->agents_last_contact[agent_name] = this->now;
                    if (this->reaches(entry_name, agent_name))
                    {
                        last_contact = this->now;
                        agent.learn_view(entry->state);
                    }
                }
            }
        }
    }

    void step_entry(std::string const& name, simulated_entry& entry)
    {
        if (entry.log_reachable)
        {
            this->read_log(entry);
        }
        else
        {
            entry.confirmation.log_read_failed(this->now);
        }
        this->update_agents(entry);
        this->exchange_with_peers(name, entry);
        entry.membership.set_view_stable(entry.confirmation.is_view_stable(this->now));
        auto const records =
            entry.membership.decide(entry.state, entry.log_reachable, this->now, this->wall());
        for (auto const& record : records)
        {
            if (this->appends_to_lose > 0)
            {
                --this->appends_to_lose;
                continue;
            }
            this->log.push_back(record);
        }
        this->collect_promises(name, entry);
    }

    void read_log(simulated_entry& entry)
    {
        auto const view = entry.state.view();
        while (entry.state.next_offset() <= this->log.size())
        {
            auto const offset = entry.state.next_offset();
            entry.state.apply(offset, this->log[offset - 1], this->wall());
        }
        this->state_changed(entry, view);
        entry.confirmation.log_read_finished(this->now, entry.state.version());
    }

    static void state_changed(simulated_entry& entry, std::uint64_t old_view)
    {
        entry.confirmation.state_advanced(entry.state.version());
        if (entry.state.view() != old_view)
        {
            entry.confirmation.set_members(entry.id(), entry.state.members());
        }
    }

    void update_agents(simulated_entry& entry)
    {
        std::size_t linked = 0;
        for (auto const& [name, last_contact] : entry.agents_last_contact)
        {
            auto const& registration = this->agents.at(name).registration;
            auto const id = wire::to_model(registration.id());
            if (this->now - last_contact > agent_link_max_age)
            {
                entry.membership.agent_unlinked(id, this->now);
                continue;
            }
            entry.membership.agent_linked(registration, this->now);
            auto const agents = entry.state.agents();
            linked +=
                std::any_of(agents.begin(), agents.end(),
                            [&](auto const& agent) { return wire::to_model(agent.id()) == id; })
                    ? 1
                    : 0;
        }
        entry.confirmation.set_linked_agents(linked, entry.state.agents().size());
    }

    void exchange_with_peers(std::string const& name, simulated_entry& entry)
    {
        for (auto& [peer_name, peer] : this->entries)
        {
            if (peer_name == name || peer->paused)
            {
                continue;
            }
            if (this->reaches(peer_name, name))
            {
                entry.membership.heard_from(peer->id(), this->now);
            }
            if (this->is_linked(name, peer_name) &&
                entry.confirmation.probe_answered(
                    peer->id(), peer->confirmation.make_probe_reply(this->now), this->now))
            {
                auto const view = entry.state.view();
                entry.state = control_state::from_snapshot(peer->state.snapshot()).value();
                state_changed(entry, view);
            }
        }
    }

    void collect_promises(std::string const& name, simulated_entry& entry)
    {
        auto const pending_request = entry.membership.pending_promise_request();
        if (!pending_request)
        {
            return;
        }
        for (auto& [agent_name, agent] : this->agents)
        {
            if (!this->is_linked(name, agent_name) || agent.view > pending_request->view() ||
                agent.promised_refusals.contains(entry.id()))
            {
                continue;
            }
            wire::promise promise;
            promise.set_view(pending_request->view());
            *promise.mutable_agent() = agent.registration.id();
            for (auto const& missing : pending_request->missing())
            {
                if (this->now - agent.entries_last_contact[missing.name()] >=
                    std::chrono::seconds(3))
                {
                    *promise.add_missing() = missing;
                    agent.promised_refusals[wire::to_model(missing)] = pending_request->view();
                }
            }
            entry.membership.promise_received(promise);
        }
    }

    void check_invariant()
    {
        for (auto const& [name, entry] : this->entries)
        {
            if (entry->paused || !entry->confirmation.is_confirmed(this->now) ||
                !entry->state.is_member(entry->id()))
            {
                continue;
            }
            auto const as_of = this->now - *entry->confirmation.age(this->now);
            auto const newer = this->first_confirmed.upper_bound(entry->state.view());
            for (auto next = newer; next != this->first_confirmed.end(); ++next)
            {
                if (as_of > next->second && this->violation.empty())
                {
                    this->violation = name + " relied on view " +
                                      std::to_string(entry->state.view()) + " after view " +
                                      std::to_string(next->first) + " was confirmed";
                }
            }
            this->first_confirmed.try_emplace(entry->state.view(), this->now);
        }
    }

    std::uint64_t incarnations = 0;
};

} // namespace filbertroad::control

#endif
