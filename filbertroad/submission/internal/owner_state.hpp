#ifndef FILBERTROAD_SUBMISSION_INTERNAL_OWNER_STATE_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_OWNER_STATE_HPP

/// The state of a shard owner. Its functions are grouped by subject: ownership and time
/// (ownership.cpp), submissions (requests.cpp), queries (queries.cpp), inquiries (inquiries.cpp),
/// tasks (tasks.cpp), agents and ledgers (agents.cpp), handover (handover.cpp), reports
/// (report.cpp).

#include "filbertroad/submission/internal/agent_table.hpp"
#include "filbertroad/submission/internal/inquiry.hpp"
#include "filbertroad/submission/internal/job_table.hpp"
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

/// The ledger of `agent`, reported for the fence of `view`, holds a task.
struct ledger_claim
{
    model::process_id agent;
    std::uint64_t view = 0;
};

struct shard_owner::state
{
    state(model::process_id self, std::string service, std::uint32_t shard, owner_options options,
          scheduling::scheduler queue);

    // Ownership and time.
    void advance(base::steady_time now);
    void advance(base::steady_time now, base::system_time wall);
    [[nodiscard]] base::system_time wall() const;
    void set_ownership(ownership const& current);
    /// The next owner asks for the ledgers itself.
    void forget_ledgers();
    void update_agents();
    void tick();
    void reject_expired();
    void answer_due();
    void dispatch();
    void send(internal::job& owner, scheduling::task_id const& id, internal::agent_record& agent);
    /// Whether no later owner can have started what is queued here.
    [[nodiscard]] bool is_current() const;
    /// Whether new keys are accepted and interrupted jobs go on.
    [[nodiscard]] bool is_serving() const;
    /// Whether no other process can have accepted a key created at `created` before `change`.
    [[nodiscard]] bool is_after(base::system_time created, base::system_time change) const;

    // Requests.
    void handle(std::uint64_t number, internal::call const& call, bool cleared);
    void handle_call(std::uint64_t number, internal::submit_call const& call, bool cleared);
    void handle_call(std::uint64_t number, internal::query_call const& call, bool cleared);
    void handle_call(std::uint64_t number, internal::cancel_call const& call, bool cleared);
    void handle_call(std::uint64_t number, internal::acknowledge_call const& call, bool cleared);
    void submit_known(std::uint64_t number, internal::submit_call const& call, internal::job& known,
                      bool cleared);
    void accept(std::uint64_t number, internal::submit_call const& call, base::system_time created);
    void resume(std::uint64_t number, internal::submit_call const& call, internal::job& known);
    /// Copies what the tasks that have not ended need from the caller's request.
    void fill(internal::job& owner, internal::submit_call const& call);
    void undo_fill(internal::job& owner);
    /// Answers or holds a query for a key that is not known here.
    void answer_unknown(std::uint64_t number, model::job_id const& id, base::system_time created,
                        internal::call const& call, bool cleared);
    /// Finds the job of a query, or answers or holds the request and returns null.
    internal::job* find_for(std::uint64_t number, internal::call const& call,
                            wire::job_query const& query, bool cleared, bool may_act);
    [[nodiscard]] std::optional<internal::error_code>
    refusal_of_unknown(base::system_time created) const;
    void answer_or_wait(std::uint64_t number, internal::job& known, std::uint32_t wait_ms,
                        bool with_history);
    void answer_report(std::uint64_t number, internal::job const& known, bool with_history);
    void cancel_tasks(internal::job& cancelled);
    [[nodiscard]] bool has_room_for(std::size_t bytes, std::uint32_t tasks) const;

    // Inquiries.
    /// Whether an interrupted job may be held by another member too.
    [[nodiscard]] bool needs_inquiry(internal::job const& known) const;
    void inquire(std::uint64_t number, model::job_id const& id, base::system_time created,
                 internal::call const& call);
    internal::inquiry& open_inquiry(model::job_id const& id, base::system_time created);
    void ask(model::job_id const& id, internal::inquiry& asked, bool from_start);
    void settle_inquiry(model::job_id const& id);
    void settle_inquiries();
    void forward_inquiry(model::job_id const& id, model::process_id const& holder);
    void tick_inquiries();
    /// Ends interrupted jobs that no caller submitted again, and forgets those that another member
    /// holds once their keys have expired.
    void check_ledger_jobs();
    void refuse_inquiries();

    // Tasks.
    internal::job& add_job(model::job_id id, base::system_time created, std::string digest,
                           std::uint32_t task_count, std::string_view team);
    void interrupt_tasks(internal::job& owner);
    bool apply(internal::job& owner, std::uint32_t index, internal::task_event event);
    void note(internal::job& owner, std::uint32_t index, internal::history_event event,
              std::string_view target = {}, wire::refusal refusal = wire::refusal_unset);
    [[nodiscard]] base::result<void, scheduling::admission_error>
    admit(internal::job& owner, std::vector<std::uint32_t> const& indexes);
    /// Ends a task; false if the event does not apply to its state.
    bool settle(internal::job& owner, std::uint32_t index, internal::task_event event,
                internal::task_answer answer);
    bool settle(internal::job& owner, std::uint32_t index, internal::task_event event,
                wire::outcome outcome, std::string_view reason);
    void finish_job(internal::job& ended);
    /// A start that did not reach the target: the task is queued again.
    void queue_again(internal::job& owner, std::uint32_t index, internal::task_event event,
                     scheduling::start_refusal reason);
    /// Moves a refused adopted task to the other agent whose ledger holds it, if there is one.
    bool adopt_second_claim(internal::job& owner, std::uint32_t index,
                            scheduling::task_id const& refused);
    void lose(internal::agent_record& agent, std::string_view reason);
    void cancel_queued(internal::job& owner);
    void end_interrupted(internal::job& ended);
    void remove_job(internal::job& removed);

    // Agents and ledgers.
    void agent_linked(wire::agent_hello const& hello);
    void refresh_target(internal::agent_record& agent);
    void announce_target(internal::agent_record& agent);
    void lose_replaced_and_silent();
    void take_result(internal::agent_record& agent, wire::task_result const& result,
                     wire::task_ref const& task);
    void take_ledger_entry(internal::agent_record& agent, wire::ledger_entry const& entry,
                           std::uint64_t view);
    internal::job* recovered_job(wire::ledger_entry const& entry);
    void adopt(internal::agent_record& agent, internal::job& owner, std::uint32_t index,
               std::uint64_t view);
    void ledger_reported(wire::ledger_report const& report);
    void requeue_unmentioned(internal::agent_record& agent, std::uint64_t view,
                             std::set<internal::task_identity> const& mentioned);
    void ask_for_ledgers(internal::agent_record& agent);
    void ask_about_adopted();
    [[nodiscard]] bool is_of_this_shard(std::string_view key) const;

    // Reports and handover.
    void add_handed_over(wire::job_report const& report, wire::job_request const& request,
                         base::system_time created);
    [[nodiscard]] wire::job_report report(internal::job const& reported, bool with_history) const;
    void add_answers(internal::job const& reported, wire::job_report& out) const;
    void add_history(internal::job const& reported, wire::job_report& out) const;

    model::process_id self;
    std::string service;
    std::uint32_t shard;
    owner_options options;
    scheduling::scheduler queue;

    base::steady_time now;
    /// Wall clock at a steady time, for events that come without a wall clock.
    base::steady_time wall_read_at;
    base::system_time wall_read;

    ownership owned;
    bool has_ownership = false;
    bool confirmed = false;
    /// This incarnation was removed from the view.
    bool removed = false;
    /// The last change of ownership, and the change with which this ownership began.
    base::system_time changed_at;
    base::system_time owner_since;

    internal::job_table jobs;
    internal::agent_table agents;
    internal::recovery fences;
    internal::outbox out;
    internal::waiting_requests waiting;
    /// Ordered, so that the same events give the same order of lookups.
    std::map<model::job_id, internal::inquiry> inquiries;
    std::size_t inquiry_bytes = 0;
    /// Unsubmitted jobs that are known from ledgers, by serial.
    std::map<std::uint64_t, internal::job*> ledger_jobs;
    /// Adopted tasks that the ledger of another agent holds too: one of the agents refused the
    /// start and the earlier owner sent it to the other one. By names in the scheduler.
    std::map<scheduling::task_id, ledger_claim> second_claims;
    std::set<std::string, std::less<>> targets_out;
    base::steady_time adopted_asked_at;
    base::steady_time ledger_jobs_checked_at;
    /// Mean size of an answer, from which room is kept for tasks that have not ended.
    std::size_t mean_answer = 0;
    std::size_t open_tasks = 0;
};

} // namespace filbertroad::submission

#endif
