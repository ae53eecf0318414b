#ifndef FILBERTROAD_DISPATCH_WAITING_CALLERS_HPP
#define FILBERTROAD_DISPATCH_WAITING_CALLERS_HPP

/// Counts the callers that wait for the answers of jobs, by the time budget of the job. A caller
/// holds its connection until then, and an accepted job is not cut, so that callers with long jobs
/// could hold every connection for minutes. A bound for each class of long time budgets leaves
/// connections to callers with shorter jobs.
///
///     waiting_callers callers({{milliseconds(10'000), 500}});
///     if (!callers.has_room(job.time_budget)) refuse(job);
///     callers.add(job.time_budget);
///     callers.remove(job.time_budget);   // answered, or the caller has left
///
/// Not thread-safe.

#include "filbertroad/dispatch/messages.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace filbertroad::dispatch
{

/// Most callers that wait for jobs with a time budget above `above`.
struct caller_bound
{
    milliseconds above{};
    std::size_t max_callers = 0;
};

class waiting_callers
{
public:
    explicit waiting_callers(std::vector<caller_bound> bounds = {})
        : bounds(std::move(bounds)), counts(this->bounds.size())
    {
    }

    [[nodiscard]] bool has_room(milliseconds time_budget) const
    {
        for (std::size_t index = 0; index < this->bounds.size(); ++index)
        {
            auto const& bound = this->bounds[index];
            if (time_budget > bound.above && this->counts[index] >= bound.max_callers)
            {
                return false;
            }
        }
        return true;
    }

    void add(milliseconds time_budget)
    {
        ++this->total;
        this->for_each_class(time_budget, [](std::size_t& count) { ++count; });
    }

    /// Precondition: add() was called with the same time budget.
    void remove(milliseconds time_budget)
    {
        --this->total;
        this->for_each_class(time_budget, [](std::size_t& count) { --count; });
    }

    [[nodiscard]] std::size_t count() const { return this->total; }

private:
    template <class Use>
    void for_each_class(milliseconds time_budget, Use use)
    {
        for (std::size_t index = 0; index < this->bounds.size(); ++index)
        {
            if (time_budget > this->bounds[index].above)
            {
                use(this->counts[index]);
            }
        }
    }

    std::vector<caller_bound> bounds;
    /// Callers of each class, in the order of `bounds`.
    std::vector<std::size_t> counts;
    std::size_t total = 0;
};

} // namespace filbertroad::dispatch

#endif
