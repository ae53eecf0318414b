#ifndef FILBERTROAD_SUBMISSION_INTERNAL_WAITING_REQUESTS_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_WAITING_REQUESTS_HPP

/// Requests that wait for the end of a job, by number and by deadline. A request whose deadline
/// passes is answered with the state that the job has at that time.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace filbertroad::submission::internal
{

struct waiting_request
{
    model::job_id job;
    base::steady_time deadline;
    bool with_history = false;
};

class waiting_requests
{
public:
    void add(std::uint64_t number, waiting_request request);
    /// Removes and returns the request; nothing if no such request waits.
    std::optional<waiting_request> take(std::uint64_t number);
    /// Returns the number of a request whose deadline has passed. The request stays until take().
    [[nodiscard]] std::optional<std::uint64_t> timed_out(base::steady_time now) const;

private:
    std::unordered_map<std::uint64_t, waiting_request> requests;
    std::set<std::pair<base::steady_time, std::uint64_t>> by_time;
};

} // namespace filbertroad::submission::internal

#endif
