#ifndef FILBERTROAD_DISPATCH_INTERNAL_CRASH_EVIDENCE_HPP
#define FILBERTROAD_DISPATCH_INTERNAL_CRASH_EVIDENCE_HPP

/// Finds the routes whose tasks crash their targets. Every run on a target is lost with it, so a
/// single crash does not show which task caused it. The agents name the routes of the tasks that
/// started right before each crash; a route named for most of the crashes is a suspect. Not
/// thread-safe.
///
///     crash_evidence crashes;
///     crashes.observe("agent-1", incarnation, status, now);
///     if (crashes.is_suspect("route")) isolate();

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::dispatch::internal
{

class crash_evidence
{
public:
    /// Takes note of the crashes that an agent reports, and drops old ones.
    void observe(std::string_view agent, std::uint64_t incarnation, target_status const& status,
                 base::steady_time now)
    {
        auto const expired = std::erase_if(this->crashes, [&](crash const& item)
                                           { return now - item.reported >= memory; });
        auto const found = this->agents.try_emplace(std::string(agent)).first;
        auto& known = found->second;
        bool const is_known = known.incarnation == incarnation && status.crash_count <= known.count;
        bool const is_new = !is_known && !status.crash_routes.empty();
        known = {incarnation, status.crash_count};
        if (is_new)
        {
            this->crashes.push_back({status.crash_routes, now});
        }
        if (is_new || expired > 0)
        {
            this->find_suspects();
        }
    }

    [[nodiscard]] bool is_suspect(std::string_view route) const
    {
        return this->suspects.contains(route);
    }

    [[nodiscard]] bool has_suspect() const { return !this->suspects.empty(); }

private:
    struct crash
    {
        std::vector<std::string> routes;
        base::steady_time reported{};
    };

    struct reported_crashes
    {
        std::uint64_t incarnation = 0;
        std::uint64_t count = 0;
    };

    /// Fewer crashes at the same time are likely to have another cause.
    static constexpr std::size_t min_crashes = 3;
    /// Several times the restart time of a target, so that the evidence does not expire while the
    /// targets on which suspects may run are down.
    static constexpr milliseconds memory{10'000};

    /// A suspect is named for at least `min_crashes` crashes and for most of them, and every other
    /// route for far fewer.
    void find_suspects()
    {
        std::map<std::string_view, std::size_t> named;
        for (auto const& item : this->crashes)
        {
            for (auto const& route : item.routes)
            {
                ++named[route];
            }
        }
        this->suspects.clear();
        for (auto const& [route, count] : named)
        {
            auto const is_distinct =
                std::all_of(named.begin(), named.end(),
                            [&, &route = route, &count = count](auto const& other)
                            { return other.first == route || other.second * 3 <= count * 2; });
            if (count >= min_crashes && count * 4 >= this->crashes.size() * 3 && is_distinct)
            {
                this->suspects.emplace(route);
            }
        }
    }

    std::vector<crash> crashes;
    std::map<std::string, reported_crashes> agents;
    std::set<std::string, std::less<>> suspects;
};

} // namespace filbertroad::dispatch::internal

#endif
