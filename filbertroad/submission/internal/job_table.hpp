#ifndef FILBERTROAD_SUBMISSION_INTERNAL_JOB_TABLE_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_JOB_TABLE_HPP

/// The jobs of an owner by identity, by serial and by their ids in the scheduler. Accounts for the
/// memory of each job and removes each job when its key expires.
///
///     auto& job = jobs.add(id, created, digest, task_count, team);
///     jobs.charge(job, payload.size());
///     auto* found = jobs.find(id);

#include "filbertroad/submission/internal/job.hpp"

#include <map>
#include <queue>
#include <string_view>
#include <unordered_map>

namespace filbertroad::submission::internal
{

// Estimates of memory in bytes from shard_owner_benchmark (hold_keys). They are counted as held
// bytes, so that the limit of held bytes also limits the heap.

/// Bytes of a known key: the nodes of the tables, the digest and the strings of the identity.
inline constexpr std::size_t bytes_per_job = 340;

/// Bytes of the job_content of a job whose answers were not acknowledged.
inline constexpr std::size_t bytes_per_content = 360;

/// Bytes of a task besides its payload and the body of its answer.
inline constexpr std::size_t bytes_per_task = 320;

class job_table
{
public:
    /// Adds a job with content and `task_count` queued tasks. `id` must not be in the table yet.
    job& add(model::job_id id, base::system_time created, std::string digest,
             std::uint32_t task_count, std::string_view team);
    [[nodiscard]] job* find(model::job_id const& id);
    [[nodiscard]] job const* find(model::job_id const& id) const;
    /// Returns the job of a scheduler job id, or null if the job has ended or was removed.
    [[nodiscard]] job* find_by_scheduler_job_id(std::uint64_t number) const;
    /// Returns the jobs that have not ended, by serial.
    [[nodiscard]] std::map<std::uint64_t, job*> const& unfinished_jobs() const
    {
        return this->unfinished;
    }
    /// Returns all jobs, sorted by serial.
    [[nodiscard]] std::vector<job*> jobs_by_serial();

    /// Returns a new id under which the scheduler refers to the job.
    std::uint64_t add_scheduler_job_id(job& record);
    void charge(job& record, std::size_t bytes);
    void release(job& record, std::size_t bytes);

    /// Marks the job as ended at `at`. Its answers are discarded at `answers_expire_at`, and the
    /// key stays known until `key_expires_at` if that is later.
    void end(job& record, base::system_time at, base::steady_time answers_expire_at,
             base::steady_time key_expires_at);
    /// Drops the content of an ended job. Its identity, its digest and its end stay known.
    void discard_answers(job& record);
    void remove(job& record);
    /// Discards the answers and removes the ended jobs that have expired at `now`.
    void expire(base::steady_time now);

    [[nodiscard]] std::size_t held_bytes() const { return this->bytes; }
    [[nodiscard]] std::size_t size() const { return this->jobs.size(); }

    /// Returns a small id for the name of a target or team; equal names have equal ids.
    std::uint32_t intern_name(std::string_view name);
    [[nodiscard]] std::string const& name_of(std::uint32_t number) const;

private:
    /// The next time at which the answers or the key of an ended job expire. Each ended job has
    /// one.
    struct expiry
    {
        base::steady_time at;
        std::uint64_t serial = 0;
        job* record = nullptr;

        friend bool operator<(expiry const& a, expiry const& b)
        {
            return a.at != b.at ? a.at > b.at : a.serial > b.serial;
        }
    };

    // Jobs are referred to by address. The nodes of this map have stable addresses.
    std::unordered_map<model::job_id, job> jobs;
    std::unordered_map<std::uint64_t, job*> scheduler_job_ids;
    std::map<std::uint64_t, job*> unfinished;
    std::priority_queue<expiry> expiries;
    /// Id 0 is the empty name, for history lines without a target.
    std::map<std::string, std::uint32_t, std::less<>> name_ids{{"", 0}};
    std::vector<std::string> names{""};
    std::uint64_t last_serial = 0;
    std::uint64_t last_scheduler_job_id = 0;
    std::size_t bytes = 0;
};

} // namespace filbertroad::submission::internal

#endif
