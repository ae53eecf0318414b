#ifndef FILBERTROAD_SUBMISSION_INTERNAL_TEST_CLUSTER_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_TEST_CLUSTER_HPP

/// Simulates entries, agents, links, the control log and callers for the property test, driven by
/// one seed. Each link keeps the order of its messages and loses those in flight when it
/// disconnects. All other messages are delayed, reordered, lost or duplicated at random.

#include "filbertroad/base/hash.hpp"
#include "filbertroad/submission/internal/test_agent.hpp"

#include <deque>
#include <memory>
#include <optional>

namespace filbertroad::submission::internal
{

/// The control state after one record of the control log.
struct log_state
{
    std::uint64_t view = 0;
    std::vector<model::process_id> members;
    std::vector<model::process_id> leaving;
    std::vector<model::process_id> removed;
    std::vector<wire::agent> agents;
    std::vector<model::process_id> unregistered_agents;

    [[nodiscard]] model::process_id owner() const;
    [[nodiscard]] ownership ownership_of(model::process_id const& self) const;
};

/// A job of a simulated caller.
struct caller_job
{
    std::string key;
    std::string body;
    int tasks = 1;
    /// The caller sends requests until the job has ended.
    bool persistent = true;
    bool cancels = false;
    /// Another job has the same key and another body. Only submissions carry the body, so queries
    /// and cancellations could not tell the two jobs apart.
    bool shares_key = false;
    /// Milliseconds after which waiting tasks are rejected; 0 means no deadline.
    std::uint32_t deadline_ms = 0;
    std::int64_t next_request_at = 0;
    bool ended = false;
    bool acknowledged = false;
};

struct sent_request
{
    std::size_t job = 0;
    owner_event event;
};

class test_cluster
{
public:
    explicit test_cluster(std::uint64_t seed);

    /// Runs `steps` steps with faults, then runs without faults until every persistent caller has
    /// its answer or `recovery_limit` milliseconds have passed.
    void run(int steps, std::int64_t recovery_limit);
    /// Replays the recorded events of each entry on a new owner and compares the actions.
    void check_replay();

    execution_log executions;
    std::size_t replies = 0;
    std::size_t answers = 0;

private:
    struct inbox_message
    {
        owner_event event;
        /// False for lookups from other members, which change nothing and are not replayed.
        bool is_recorded = true;
    };

    struct entry
    {
        model::process_id id;
        std::unique_ptr<shard_owner> owner;
        std::size_t applied_version = 0;
        std::int64_t confirmed_at = never;
        /// A pending log read: when it was sent and the newest record that it returns.
        std::optional<std::pair<std::int64_t, std::size_t>> pending_log_read;
        std::int64_t paused_until = 0;
        std::int64_t partitioned_until = 0;
        std::int64_t clock_offset = 0;
        bool alive = true;
        std::vector<inbox_message> inbox;
        std::vector<std::pair<owner_event, event_time>> event_log;
        std::string actions;
    };

    struct link
    {
        bool up = false;
        /// The entry has received the hello. Before that it sends on the previous connection.
        bool hello_received = false;
        std::uint64_t number = 0;
        std::deque<std::pair<std::int64_t, owner_event>> to_entry;
        std::deque<std::pair<std::int64_t, std::function<void(test_agent&)>>> to_agent;
    };

    struct in_flight_message
    {
        std::int64_t at = 0;
        model::process_id entry;
        inbox_message message;
    };

    static constexpr std::int64_t never = -100000;

    void step(bool faults);
    void inject_faults();
    void inject_entry_fault(entry& process);
    void stop_faults();
    void deliver();
    void deliver_link(model::process_id const& entry_id, link& connection, test_agent& agent);
    void run_entry(entry& process);
    void apply_event(entry& process, owner_event const& event);
    void read_log(entry& process);
    void perform(entry& process, action const& next);
    /// Sends over the link. Returns false if the link is down, even if the entry does not know
    /// that.
    bool send_to_agent(entry const& process, model::process_id const& agent,
                       std::function<void(test_agent&)> message);
    void send_start_to_agent(entry const& process, send_start const& start);
    void deliver_lookup(model::process_id const& requester, send_lookup const& sent_lookup);
    void check_start(entry const& process, send_start const& start);
    void check_reply(reply const& sent_reply);
    void check_report(caller_job const& job, wire::job_report const& report);
    void finish_leaving(entry& process);
    void restart_entry(entry& process);

    void add_entry(std::string const& name);
    void add_agent(std::string const& name);
    void restart_agent(std::size_t index);
    void disconnect(link& connection, model::process_id const& entry_id, test_agent const& agent);
    void connect(link& connection, model::process_id const& entry_id, test_agent& agent);
    void send_pong(link& connection, entry const& process);
    void add_job();
    void send_due_requests();
    void send_request(sent_request request, model::process_id const& to, std::uint64_t number);
    entry* find_entry(model::process_id const& id);
    entry& random_entry();
    [[nodiscard]] bool is_confirmed(entry const& process) const;
    [[nodiscard]] event_time event_time_of(entry const& process) const;
    std::int64_t delay();
    log_state& append_log_state();

    random_source random;
    /// Each fault of an entry happens in about one of this many steps.
    std::uint64_t entry_fault_interval = 0;
    std::int64_t now = 0;
    std::uint64_t last_incarnation = 0;
    std::vector<log_state> log{log_state{}};
    std::vector<std::unique_ptr<entry>> entries;
    std::vector<std::unique_ptr<test_agent>> agents;
    std::vector<std::int64_t> agents_paused_until;
    std::map<std::pair<model::process_id, model::process_id>, link> links;
    std::vector<in_flight_message> in_flight;
    std::vector<caller_job> jobs;
    std::map<std::uint64_t, sent_request> requests;
    std::uint64_t last_request = 0;
    std::uint64_t last_link = 0;
};

} // namespace filbertroad::submission::internal

#endif
