#ifndef FILBERTROAD_SUBMISSION_INTERNAL_JOB_TABLE_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_JOB_TABLE_HPP

/// The jobs of an owner by identity, by serial and by their numbers in the scheduler, with the
/// bytes that they hold and the time at which each is forgotten.
///
///     auto& job = jobs.add(id, created, digest, task_count);
///     jobs.hold(job, payload.size());
///     auto* found = jobs.find(id);

#include "filbertroad/submission/internal/job.hpp"

#include <map>
#include <queue>
#include <string_view>
#include <unordered_map>

namespace filbertroad::submission::internal
{

// Estimates of memory in bytes from shard_owner_benchmark (hold_keys), so that the bound of the
// bytes held is a bound of the heap.

/// A known key: the nodes of the tables, the digest and the strings of the identity.
inline constexpr std::size_t bytes_per_job = 340;

/// The content of a job whose answers were not acknowledged.
inline constexpr std::size_t bytes_per_content = 360;

/// A task besides its payload and the body of its answer.
inline constexpr std::size_t bytes_per_task = 320;

class job_table
{
public:
    /// Adds a job with content and `task_count` queued tasks. The identity must not be known.
    job& add(model::job_id id, base::system_time created, std::string digest,
             std::uint32_t task_count, std::string_view team);
    [[nodiscard]] job* find(model::job_id const& id);
    [[nodiscard]] job const* find(model::job_id const& id) const;
    /// The job that a number of the scheduler refers to; null if it was forgotten.
    [[nodiscard]] job* find_by_scheduler_job_id(std::uint64_t number) const;
    /// Jobs that have not ended, by serial.
    [[nodiscard]] std::map<std::uint64_t, job*> const& unfinished_jobs() const
    {
        return this->unfinished;
    }
    /// Every job by serial.
    [[nodiscard]] std::vector<job*> jobs_by_serial();

    /// A new number of `owner` for the scheduler.
    std::uint64_t add_scheduler_job_id(job& record);
    void charge(job& record, std::size_t bytes);
    void release(job& record, std::size_t bytes);

    /// Ends the job. Its answers are dropped at `drop_at`, and the key stays known until
    /// `forget_at` if that is later.
    void end(job& record, base::system_time at, base::system_time answers_expire_at,
             base::system_time key_expires_at);
    /// Drops everything but the identity, the digest and the end.
    void discard_answers(job& record);
    void remove(job& record);
    /// Drops the answers and removes the ended jobs whose time has come.
    void expire(base::system_time wall);

    [[nodiscard]] std::size_t held_bytes() const { return this->bytes; }
    [[nodiscard]] std::size_t size() const { return this->jobs.size(); }

    /// A small number for the name of a target or team; equal names have equal numbers.
    std::uint32_t intern_name(std::string_view name);
    [[nodiscard]] std::string const& name_of(std::uint32_t number) const;

private:
    /// When an ended job drops its answers or is forgotten; each ended job has one.
    struct expiry
    {
        base::system_time at;
        std::uint64_t serial = 0;
        job* record = nullptr;

        friend bool operator<(expiry const& a, expiry const& b)
        {
            return a.at != b.at ? a.at > b.at : a.serial > b.serial;
        }
    };

    // The nodes of the map stay in place, so that jobs are referred to by address.
    std::unordered_map<model::job_id, job> jobs;
    std::unordered_map<std::uint64_t, job*> scheduler_job_ids;
    std::map<std::uint64_t, job*> unfinished;
    std::priority_queue<expiry> expiries;
    /// Number 0 is the empty name, for history lines without a target.
    std::map<std::string, std::uint32_t, std::less<>> name_ids{{"", 0}};
    std::vector<std::string> names{""};
    std::uint64_t last_serial = 0;
    std::uint64_t last_number = 0;
    std::size_t bytes = 0;
};

} // namespace filbertroad::submission::internal

#endif
