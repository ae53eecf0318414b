#ifndef FILBERTROAD_SCHEDULING_INTERNAL_JOB_STORE_HPP
#define FILBERTROAD_SCHEDULING_INTERNAL_JOB_STORE_HPP

/// Jobs with queued or running tasks, and the order in which the queued ones start. Jobs of one
/// team with the same placement rule share a queue. A queue is ordered by arrival time plus a fixed
/// penalty for each remaining task. All jobs age at the same rate, so the order needs no update as
/// time passes, and no job starves.
///
///     job_store store;
///     auto& record = store.find_or_create(job, store.queue_of(team, placement));
///     store.enqueue(record, tasks);
///     auto index = store.dequeue(record); // the next task of the job
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/scheduling/scheduler.hpp"

#include <boost/container_hash/hash.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace filbertroad::scheduling::internal
{

namespace intrusive = boost::intrusive;

inline constexpr std::uint32_t no_index = std::numeric_limits<std::uint32_t>::max();
/// Penalty in the start order for each queued task of a job: a job with one more task starts as if
/// it had arrived this much later.
inline constexpr std::chrono::milliseconds order_penalty_per_task{10};

struct job_queue;

struct order_tag;
struct arrival_tag;
struct deadline_tag;
template <class Tag>
using set_hook = intrusive::set_base_hook<intrusive::tag<Tag>, intrusive::optimize_size<true>,
                                          intrusive::link_mode<intrusive::safe_link>>;

/// A job with queued or running tasks.
struct job_record : set_hook<order_tag>, set_hook<arrival_tag>, set_hook<deadline_tag>
{
    std::uint64_t job = 0;
    job_queue* queue = nullptr;
    /// Indexes of the queued tasks in reverse order: the next one is last.
    std::vector<std::uint32_t> tasks;
    base::steady_time arrival{};
    /// Deadline of the start of the last task; the maximum means no deadline.
    base::steady_time start_before = base::steady_time::max();
    base::steady_time order_key{};
    std::size_t bytes = 0;
    std::uint32_t route = 0;
    std::uint32_t running = 0;
    /// First target on which a task of the job failed, and whether tasks failed on other targets
    /// too.
    std::uint32_t first_failed_target = no_index;
    bool failed_on_several_targets = false;
    /// The same for tasks that succeeded.
    std::uint32_t first_succeeded_target = no_index;
    bool succeeded_on_several_targets = false;
};

struct by_order_key
{
    bool operator()(job_record const& a, job_record const& b) const
    {
        return a.order_key != b.order_key ? a.order_key < b.order_key : a.job < b.job;
    }
};
struct by_arrival
{
    bool operator()(job_record const& a, job_record const& b) const
    {
        return a.arrival != b.arrival ? a.arrival < b.arrival : a.job < b.job;
    }
};
struct by_deadline
{
    bool operator()(job_record const& a, job_record const& b) const
    {
        return a.start_before != b.start_before ? a.start_before < b.start_before : a.job < b.job;
    }
};

template <class Tag, class Compare>
using job_set =
    intrusive::set<job_record, intrusive::base_hook<set_hook<Tag>>, intrusive::compare<Compare>>;

struct team_record
{
    std::string name;
    std::uint32_t weight = 1;
    std::uint32_t max_running = 0;
    std::uint32_t max_queued = 0;
    bool configured = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::size_t queued_bytes = 0;
    /// Sequence number of the last assignment to the team. Among teams with equal use of their
    /// weight, the least recently served one goes first.
    std::uint64_t last_served = 0;
};

/// The queued jobs of one team with one placement rule.
struct job_queue
{
    team_record* team = nullptr;
    std::uint32_t placement = 0;
    job_set<order_tag, by_order_key> jobs;
    std::uint32_t queued = 0;
    /// Jobs with queued or running tasks.
    std::uint32_t unfinished_jobs = 0;
    /// Number of the last dispatch in which no job of the queue gained from a free slot.
    std::uint64_t skipped_in = 0;
    /// Index in the list of queues with queued jobs, or no_index.
    std::uint32_t active_index = no_index;
};

class job_store
{
public:
    /// Returns the queue of a team and a placement; creates it if needed. The address is stable.
    [[nodiscard]] job_queue& queue_of(team_record& team, std::uint32_t placement);
    /// Returns the record of a job, created if needed, and assigns it to a queue. Precondition: no
    /// task of the job is queued.
    [[nodiscard]] job_record& find_or_create(std::uint64_t job, job_queue& queue);
    /// Whether a job with queued or running tasks uses the placement.
    [[nodiscard]] bool is_placement_used(std::uint32_t placement) const;
    /// Estimates how many queued tasks of a queue start before a job with this order key.
    [[nodiscard]] static double estimate_tasks_before(job_queue const& queue,
                                                      base::steady_time order_key);
    [[nodiscard]] job_record* find(std::uint64_t job);
    /// Adds a job and its tasks to the queue of the job. Preconditions: the job has no queued task;
    /// `tasks` is not empty.
    void enqueue(job_record& job, std::span<std::uint32_t const> tasks);
    /// Queues a task again, as the first of its job.
    void requeue(job_record& job, std::uint32_t index);
    /// Removes and returns the next task of a job; the job leaves its queue with the last task.
    std::uint32_t dequeue(job_record& job);
    /// Removes and returns all queued tasks of a job, in order.
    std::vector<std::uint32_t> dequeue_all(job_record& job);
    /// Erases a job that has no queued and no running tasks; otherwise does nothing.
    void erase_if_finished(job_record& job);

    [[nodiscard]] std::vector<job_queue*> const& active_queues() const { return this->active; }
    [[nodiscard]] std::uint32_t queued_tasks() const { return this->queued; }
    [[nodiscard]] std::size_t queued_bytes() const { return this->bytes; }
    [[nodiscard]] std::size_t job_count() const { return this->jobs.size(); }
    /// The queued job with the earliest arrival, or null.
    [[nodiscard]] job_record const* oldest() const;
    /// The queued job with the earliest deadline if that has passed, or null.
    [[nodiscard]] job_record* first_past_deadline(base::steady_time now);

private:
    void link(job_record& job);
    void unlink(job_record& job);

    boost::unordered_flat_map<std::pair<team_record const*, std::uint32_t>,
                              std::unique_ptr<job_queue>>
        queues;
    std::vector<job_queue*> active;
    job_set<arrival_tag, by_arrival> arrivals;
    job_set<deadline_tag, by_deadline> deadlines;
    boost::unordered_flat_map<std::uint64_t, std::unique_ptr<job_record>> jobs;
    std::uint32_t queued = 0;
    std::size_t bytes = 0;

public:
    job_store() = default;
    job_store(job_store const&) = delete;
    job_store& operator=(job_store const&) = delete;
    ~job_store();
};

} // namespace filbertroad::scheduling::internal

#endif
