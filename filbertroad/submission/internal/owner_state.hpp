#ifndef FILBERTROAD_SUBMISSION_INTERNAL_OWNER_STATE_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_OWNER_STATE_HPP

/// The state of a shard owner. Its functions are grouped by subject: ownership and time
/// (ownership.cpp), submissions (requests.cpp), queries (queries.cpp), key lookups
/// (key_lookups.cpp), tasks (tasks.cpp), agents and ledgers (agents.cpp), handover (handover.cpp),
/// reports (report.cpp).

#include "filbertroad/submission/internal/agent_table.hpp"
#include "filbertroad/submission/internal/job_table.hpp"
#include "filbertroad/submission/internal/key_lookup.hpp"
#include "filbertroad/submission/internal/outbox.hpp"
#include "filbertroad/submission/internal/recovery.hpp"
#include "filbertroad/submission/internal/waiting_requests.hpp"
#include "filbertroad/submission/shard_owner.hpp"
#include "filbertroad/wire/id_conversions.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::submission
{

/// An agent whose ledger holds a certain task, as reported for the fence of `view`.
struct ledger_holder
{
    model::process_id agent;
    std::uint64_t view = 0;
};

struct shard_owner::state
{
    state(model::process_id self, std::string service, std::uint32_t shard, owner_options options,
          scheduling::scheduler scheduler);

    // Ownership and time.
    void advance(base::steady_time now);
    void advance(base::steady_time now, base::system_time wall);
    [[nodiscard]] base::system_time wall() const;
    void set_ownership(ownership const& current);
    /// Drops the jobs that are known only from ledgers. The next owner requests the ledgers itself.
    void drop_recovered_jobs();
    void update_agents();
    void tick();
    void reject_expired();
    void answer_timed_out_requests();
    void dispatch();
    void send(internal::job& job, scheduling::task_id const& id, internal::agent_record& agent);
    /// Whether this entry is confirmed and still in the view. If so, no later owner can have
    /// started tasks that are queued here.
    [[nodiscard]] bool is_confirmed_member() const;
    /// Whether new keys are accepted and interrupted jobs are resumed.
    [[nodiscard]] bool accepts_new_keys() const;
    /// Whether a key created at `created` is so much newer than `change`, allowing for clock skew
    /// and unconfirmed processes, that no other process can have accepted the key before `change`.
    [[nodiscard]] bool is_created_after(base::system_time created, base::steady_time change) const;

    // Requests. `number` is the request number. `lookup_completed` says that a key lookup has shown
    // that no other member holds the key.
    void handle(std::uint64_t number, internal::call const& call, bool lookup_completed);
    void handle_call(std::uint64_t number, internal::submit_call const& call,
                     bool lookup_completed);
    void handle_call(std::uint64_t number, internal::query_call const& call, bool lookup_completed);
    void handle_call(std::uint64_t number, internal::cancel_call const& call,
                     bool lookup_completed);
    void handle_call(std::uint64_t number, internal::acknowledge_call const& call,
                     bool lookup_completed);
    void submit_existing(std::uint64_t number, internal::submit_call const& call,
                         internal::job& job, bool lookup_completed);
    void accept(std::uint64_t number, internal::submit_call const& call, base::system_time created);
    void resume(std::uint64_t number, internal::submit_call const& call, internal::job& job);
    /// Copies the job properties, and the payloads of tasks that have not ended, from the request.
    void copy_request(internal::job& job, internal::submit_call const& call);
    void clear_request(internal::job& job);
    /// Refuses a query for a key that is not known here, or starts a key lookup for the query.
    void answer_unknown_key(std::uint64_t number, model::job_id const& id,
                            base::system_time created, internal::call const& call,
                            bool lookup_completed);
    /// Returns the job of a query, or null after refusing the request or starting a key lookup for
    /// it. `changes_job` requires this entry to be a confirmed member if the job has not ended.
    internal::job* find_queried_job(std::uint64_t number, internal::call const& call,
                                    wire::job_query const& query, bool lookup_completed,
                                    bool changes_job);
    [[nodiscard]] std::optional<internal::error_code>
    refusal_for_unknown_key(base::system_time created) const;
    void answer_or_wait(std::uint64_t number, internal::job& job, std::uint32_t wait_ms,
                        bool with_history);
    void answer_report(std::uint64_t number, internal::job const& job, bool with_history);
    void cancel_tasks(internal::job& job);
    /// Sends the cancellation of a task that is at an agent, if the agent is linked.
    void send_cancel_of(internal::job const& job, std::uint32_t index);
    [[nodiscard]] bool has_memory_for(std::size_t bytes, std::uint32_t tasks) const;

    // Key lookups.
    /// Whether the job is interrupted, so that another member may hold it too.
    [[nodiscard]] bool needs_lookup(internal::job const& job) const;
    void start_lookup(std::uint64_t number, model::job_id const& id, base::system_time created,
                      internal::call const& call);
    internal::key_lookup& open_lookup(model::job_id const& id, base::system_time created);
    void send_lookups(model::job_id const& id, internal::key_lookup& lookup, bool restart);
    void try_complete_lookup(model::job_id const& id);
    void try_complete_lookups();
    void forward_to_holder(model::job_id const& id, model::process_id const& holder);
    void expire_and_retry_lookups();
    /// Starts a key lookup that ends an interrupted job, for each one that no caller resubmitted
    /// within the recovery timeout. Removes interrupted jobs whose keys have expired, such as those
    /// that another member holds.
    void check_recovered_jobs();
    void refuse_lookups();

    // Tasks.
    internal::job& add_job(model::job_id id, base::system_time created, std::string digest,
                           std::uint32_t task_count, std::string_view team);
    void interrupt_tasks(internal::job& job);
    bool apply(internal::job& job, std::uint32_t index, internal::task_event event);
    void record_history(internal::job& job, std::uint32_t index, internal::history_event event,
                        std::string_view target = {}, wire::refusal refusal = wire::refusal_unset);
    [[nodiscard]] base::result<void, scheduling::admission_error>
    admit(internal::job& job, std::vector<std::uint32_t> const& indexes);
    /// Ends a task with `answer`. Returns false if the event does not apply to the task's state.
    bool end_task(internal::job& job, std::uint32_t index, internal::task_event event,
                  internal::task_answer answer);
    bool end_task(internal::job& job, std::uint32_t index, internal::task_event event,
                  wire::outcome outcome, std::string_view reason);
    void finish_job(internal::job& job);
    /// Queues a task again after its start did not reach the target. An adopted task of a job that
    /// no caller has submitted here becomes interrupted instead.
    void requeue(internal::job& job, std::uint32_t index, internal::task_event event,
                 scheduling::start_refusal reason);
    /// Moves a refused adopted task to the other agent whose ledger holds the task. Returns false
    /// if there is no such agent.
    bool adopt_from_alternate_holder(internal::job& job, std::uint32_t index,
                                     scheduling::task_id const& refused);
    void mark_tasks_lost(internal::agent_record& agent, std::string_view reason);
    void cancel_queued(internal::job& job);
    void end_interrupted_tasks(internal::job& job);
    void remove_job(internal::job& job);

    // Agents and ledgers.
    void agent_linked(wire::agent_hello const& hello);
    void update_target_availability(internal::agent_record& agent);
    void announce_target(internal::agent_record& agent);
    void mark_tasks_of_lost_agents();
    void handle_result(internal::agent_record& agent, wire::task_result const& result,
                       wire::task_ref const& task);
    void handle_ledger_entry(internal::agent_record& agent, wire::ledger_entry const& entry,
                             std::uint64_t view);
    internal::job* find_or_recover_job(wire::ledger_entry const& entry);
    void adopt(internal::agent_record& agent, internal::job& job, std::uint32_t index,
               std::uint64_t view);
    void ledger_reported(wire::ledger_report const& report);
    void requeue_unreported(internal::agent_record& agent, std::uint64_t view,
                            std::set<internal::task_identity> const& reported_tasks);
    void send_fences(internal::agent_record& agent);
    void poll_adopted_tasks();
    [[nodiscard]] bool belongs_to_shard(std::string_view key) const;

    // Reports and handover.
    void add_handed_over_job(wire::job_report const& report, wire::job_request const& request,
                             base::system_time created);
    [[nodiscard]] wire::job_report report(internal::job const& job, bool with_history) const;
    void add_answers(internal::job const& job, wire::job_report& out) const;
    void add_history(internal::job const& job, wire::job_report& out) const;

    model::process_id self;
    std::string service;
    std::uint32_t shard;
    owner_options options;
    scheduling::scheduler scheduler;

    base::steady_time now;
    /// The last wall clock reading and its steady time, from which wall() computes the wall time of
    /// events that come without one.
    base::steady_time last_wall_time_read_at;
    base::system_time last_wall_time;

    ownership current_ownership;
    bool has_ownership = false;
    bool confirmed = false;
    /// This incarnation of the entry was removed from the view.
    bool removed = false;
    /// Times of the last change of ownership, and of the change that made this entry the owner. On
    /// the steady clock, so that a correction of the wall clock does not make older keys look new.
    base::steady_time ownership_changed_at;
    base::steady_time owner_since;

    internal::job_table jobs;
    internal::agent_table agents;
    internal::recovery recovery;
    internal::outbox outbox;
    internal::waiting_requests waiting_requests;
    /// Ordered by job, so that equal event sequences give the same order of lookups.
    std::map<model::job_id, internal::key_lookup> key_lookups;
    std::size_t lookup_bytes = 0;
    /// Jobs that are known from ledgers and that no caller has submitted here, by serial.
    std::map<std::uint64_t, internal::job*> recovered_jobs;
    /// The second agents of adopted tasks that two ledgers hold, by scheduler id. Two ledgers hold
    /// a task if one agent refused the start and the previous owner then sent the task to the
    /// other.
    std::map<scheduling::task_id, ledger_holder> alternate_holders;
    std::set<std::string, std::less<>> targets_out_of_service;
    base::steady_time adopted_polled_at;
    base::steady_time recovered_jobs_checked_at;
    /// Mean size of an answer. Admission reserves this much memory for each task that has not
    /// ended.
    std::size_t mean_answer_bytes = 0;
    std::size_t unfinished_tasks = 0;
};

} // namespace filbertroad::submission

#endif
