#ifndef FILBERTROAD_SERVER_SHARD_REGISTRY_HPP
#define FILBERTROAD_SERVER_SHARD_REGISTRY_HPP

/// The service shards of an entry, each with its own lock. Every entry has an object for every
/// shard, including shards that another entry owns, because this entry may still hold jobs from the
/// time when it owned the shard.
///
///     shard_registry shards(clock, self, options, max_queued_tasks, callbacks);
///     shards.apply_state(*state, linked_agents);
///     shards.submit({"pricing", 0}, request, limits, [](shard_response response) { ... });
///
/// Thread-safe, but call apply_state() from one strand only. Messages to agents are sent while the
/// shard's lock is held, so that two threads cannot reorder them. Response handlers are called
/// after the lock was released.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/control/control_state.hpp"
#include "filbertroad/server/entry_links.hpp"
#include "filbertroad/server/route_resolution.hpp"
#include "filbertroad/submission/shard_owner.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace filbertroad::server
{

/// The response of a shard to a request. A `process_id` is the member that holds the key: the
/// request has to be forwarded to it.
using shard_response = std::variant<wire::job_report, wire::request_error, model::process_id>;
using shard_response_handler = std::function<void(shard_response)>;

/// How the shards reach other processes and the control state.
struct shard_callbacks
{
    /// Sends a message to an agent, unless the agent has a newer link than `link`, the newest one
    /// whose hello the shard has applied.
    std::function<bool(model::process_id const&, std::uint64_t link, wire::link_message const&)>
        to_agent;
    /// Sends a lookup to a member; the reply arrives through shard_registry::lookup_answered().
    std::function<void(shard_id const&, model::process_id const&, wire::lookup const&)> lookup;
    /// Whether the control state is confirmed as the newest.
    std::function<bool()> is_confirmed;
};

class shard_registry
{
public:
    shard_registry(base::clock const& clock, model::process_id self,
                   submission::owner_options options, std::uint32_t max_queued_tasks,
                   shard_callbacks callbacks);
    ~shard_registry();

    /// Creates missing shards and updates ownership, limits and targets of all shards. Call from
    /// one strand only.
    void apply_state(control::control_state const& state, std::span<linked_agent const> linked);

    /// Events of a link that is older than the newest known link of the agent are ignored. A hello
    /// is applied once: if it were applied again, tasks that were sent after it would be queued
    /// again.
    void agent_linked(control::control_state const& state, linked_agent const& agent);
    void agent_unlinked(model::process_id const& agent, std::uint64_t link);
    void agent_message_received(model::process_id const& agent, std::uint64_t link,
                                wire::link_message& message);
    /// The reply of `member` to `sent_lookup`; empty if there was none.
    void lookup_answered(shard_id const& id, model::process_id const& member,
                         wire::lookup const& sent_lookup,
                         std::optional<wire::lookup_reply> const& reply);

    /// Each of these calls `handler` once and returns true, or returns false without a call if
    /// there is no such shard.
    bool submit(shard_id const& id, wire::submit_request const& request,
                submission::job_limits const& limits, shard_response_handler handler);
    bool query(shard_id const& id, wire::job_query const& query, shard_response_handler handler);
    bool cancel(shard_id const& id, wire::job_query const& query, shard_response_handler handler);
    bool acknowledge(shard_id const& id, wire::job_query const& query,
                     shard_response_handler handler);

    /// Whether any shard of this entry holds the key. The reply is marked as current if this entry
    /// has applied the control log at least up to the requester's offset.
    [[nodiscard]] wire::lookup_reply answer_lookup(wire::lookup const& lookup) const;
    /// The shard of this entry that holds the key, if any does.
    [[nodiscard]] std::optional<shard_id> find_holder(std::string const& route,
                                                      std::string const& key) const;

    /// Runs the time-dependent work of all shards. Call every 20 ms.
    void tick();

    /// Whether no job is queued or running and no request is pending in any shard.
    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] std::vector<shard_id> shards() const;
    /// The next part of a shard's ended jobs and retained results, about 16 MiB. Call again until
    /// it holds no job.
    [[nodiscard]] wire::handover take_handover(shard_id const& id);
    /// Adds the jobs of a part to the shards that the tables assign to their keys.
    void accept_handover(control::control_state const& state, wire::handover const& jobs);
    /// Adds the queues and targets of the shards that this entry owns or that still hold tasks.
    void add_status(wire::status_reply& reply) const;

private:
    struct hosted_shard;
    using shard_ptr = std::shared_ptr<hosted_shard>;

    /// What the last applied tables say about a service.
    struct service_record
    {
        std::uint32_t shards = 0;
        /// Offset of the last table change that moved keys to the service or between its shards.
        std::uint64_t epoch = 0;
        bool routes_changed = false;
    };

    void record_table_changes(control::control_state const& state);
    /// The earliest time, by the clock of any owner, at which a key that is still accepted may have
    /// been submitted.
    [[nodiscard]] base::system_time oldest_key_time() const;
    submission::ownership common_ownership(control::control_state const& state) const;
    void apply_to_shard(control::control_state const& state, shard_id const& id,
                        hosted_shard& shard, submission::ownership ownership);
    shard_ptr find(shard_id const& id) const;
    std::vector<std::pair<shard_id, shard_ptr>> all_shards() const;
    shard_ptr get_or_create(shard_id const& id);
    std::optional<shard_id> shard_of_agent(model::process_id const& agent) const;
    template <class Function>
    void run_locked(shard_id const& id, hosted_shard& shard, Function const& function);
    template <class Function>
    bool start_request(shard_id const& id, shard_response_handler handler,
                       Function const& function);
    void execute_actions(shard_id const& id, hosted_shard& shard,
                         std::vector<std::function<void()>>& deferred_calls);

    base::clock const& clock;
    model::process_id self;
    submission::owner_options options;
    std::uint32_t max_queued_tasks;
    shard_callbacks callbacks;
    std::atomic<std::uint64_t> next_request{1};

    // Accessed by apply_state() only, which runs on one strand.
    std::map<std::string, service_record> services;
    std::map<std::string, std::string> route_services;
    bool tables_loaded = false;
    std::atomic<std::uint64_t> applied_version{0};

    /// Guards the two maps below only; each shard has its own lock.
    mutable std::shared_mutex lock;
    std::map<shard_id, shard_ptr> hosted;
    std::unordered_map<model::process_id, shard_id> agent_shards;
};

} // namespace filbertroad::server

#endif
