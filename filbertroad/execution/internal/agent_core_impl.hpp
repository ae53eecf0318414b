#ifndef FILBERTROAD_EXECUTION_INTERNAL_AGENT_CORE_IMPL_HPP
#define FILBERTROAD_EXECUTION_INTERNAL_AGENT_CORE_IMPL_HPP

/// State and helper functions of agent_core.

#include "filbertroad/execution/agent_core.hpp"
#include "filbertroad/execution/internal/ledger.hpp"
#include "filbertroad/execution/internal/start_admission.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace filbertroad::execution
{

struct agent_core::implementation
{
    /// An entry from which traffic has arrived, and the newest link to it.
    struct entry_link
    {
        std::uint64_t number = 0;
        bool linked = false;
        base::steady_time last_contact;
        std::optional<base::steady_time> last_ping;
        /// Tasks whose results are to be resent, up to max_batch_bytes per tick.
        std::deque<internal::task_identity> results_to_resend;
    };

    implementation(model::process_id self, std::string zone, agent_options options);

    void send(model::process_id const& entry, wire::link_message message);
    void broadcast(wire::link_message const& message);
    [[nodiscard]] wire::link_message make_hello() const;
    void send_hello(model::process_id const& entry, entry_link& link);
    void send_ping(model::process_id const& entry, entry_link& link, base::steady_time now);
    /// Sends the result of a finished task to its recipient, and to its owner unless the owner is
    /// excluded, if they are linked.
    void send_result(internal::task_identity const& task);
    void resend_results(entry_link& link);
    void broadcast_target();
    void send_refusal(model::process_id const& entry, wire::task_ref const& task,
                      wire::refusal reason);
    void accept_start(model::process_id const& entry, wire::start_task const& start,
                      base::steady_time now, base::system_time wall);
    void send_ledger_report(model::process_id const& entry, wire::fence const& fence);
    void record_contact(model::process_id const& entry, base::steady_time now);
    void detect_pause(base::steady_time now);
    void repeat_cancellations(base::steady_time now);

    [[nodiscard]] bool is_linked(model::process_id const& entry) const;
    [[nodiscard]] bool is_current_link(model::process_id const& entry,
                                       std::uint64_t link_number) const;

    model::process_id self;
    std::string zone;
    agent_options options;
    internal::start_admission admission;
    internal::ledger ledger;
    std::map<model::process_id, entry_link> links;
    /// When the first event with a time arrived, or the last pause ended. For an entry from which
    /// no traffic has arrived, the time without traffic is measured from then.
    std::optional<base::steady_time> started_at;
    std::optional<base::steady_time> last_tick;
    std::optional<base::steady_time> last_expiry;
    /// Cancelled tasks that may still run.
    std::unordered_set<internal::task_identity, internal::task_identity_hash> cancelled;
    base::steady_time cancellations_repeated_at{};
    std::vector<action> actions;
};

} // namespace filbertroad::execution

#endif
