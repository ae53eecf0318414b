#ifndef FILBERTROAD_SUBMISSION_INTERNAL_TEST_CLUSTER_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_TEST_CLUSTER_HPP

/// Entries, agents, links, control log and callers for the property test, driven by one seed. Each
/// link keeps the order of its messages and loses those in flight when it is cut; everything else
/// is delayed, crossed, lost or repeated at random.

#include "filbertroad/base/hash.hpp"
#include "filbertroad/submission/internal/test_agent.hpp"

#include <deque>
#include <memory>
#include <optional>

namespace filbertroad::submission::internal
{

/// One state of the control log.
struct log_state
{
    std::uint64_t view = 0;
    std::vector<model::process_id> members;
    std::vector<model::process_id> leaving;
    std::vector<model::process_id> removed;
    std::vector<wire::agent> agents;
    std::vector<model::process_id> former_agents;

    [[nodiscard]] model::process_id owner() const;
    [[nodiscard]] ownership of(model::process_id const& self) const;
};

/// A job that a caller wants done.
struct caller_job
{
    std::string key;
    std::string body;
    int tasks = 1;
    /// Asks until the job has ended.
    bool persistent = true;
    bool cancels = false;
    /// Another job has the same key and another body, so that only submissions tell which it is.
    bool shares_key = false;
    /// Tasks that wait longer are rejected; 0 means no deadline.
    std::uint32_t deadline_ms = 0;
    std::int64_t next_ask = 0;
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

    /// Runs `steps` steps with faults, then without until every persistent caller has its answer
    /// or `quiet_limit` is over.
    void run(int steps, std::int64_t quiet_limit);
    /// Feeds the recorded events of each entry to a new owner and compares the actions.
    void check_replay();

    target_log targets;
    std::size_t replies = 0;
    std::size_t answers = 0;

private:
    struct received
    {
        owner_event event;
        /// Questions that change nothing are left out of the replay.
        bool is_recorded = true;
    };

    struct entry
    {
        model::process_id id;
        std::unique_ptr<shard_owner> owner;
        std::size_t folded = 0;
        std::int64_t confirmed_at = never;
        /// A log read: when it was sent and the newest record that it returns.
        std::optional<std::pair<std::int64_t, std::size_t>> read;
        std::int64_t paused_until = 0;
        std::int64_t cut_from_log_until = 0;
        std::int64_t clock_offset = 0;
        bool alive = true;
        std::vector<received> inbox;
        std::vector<std::pair<owner_event, moment>> record;
        std::string actions;
    };

    struct link
    {
        bool up = false;
        /// The entry has read the hello; before that it sends on the old connection.
        bool is_known = false;
        std::uint64_t number = 0;
        std::deque<std::pair<std::int64_t, owner_event>> to_entry;
        std::deque<std::pair<std::int64_t, std::function<void(test_agent&)>>> to_agent;
    };

    struct flight
    {
        std::int64_t at = 0;
        model::process_id entry;
        received message;
    };

    static constexpr std::int64_t never = -100000;

    void step(bool faults);
    void inject_faults();
    void inject_entry_fault(entry& process);
    void repair();
    void deliver();
    void deliver_link(model::process_id const& entry_id, link& between, test_agent& agent);
    void run_entry(entry& process);
    void call(entry& process, owner_event const& event);
    void read_log(entry& process);
    void perform(entry& process, action const& next);
    /// Sends over the link; false if the link is gone, whether the entry knows it or not.
    bool send_to_agent(entry const& process, model::process_id const& agent,
                       std::function<void(test_agent&)> message);
    void send_start_to_agent(entry const& process, send_start const& start);
    void look_up(model::process_id const& asker, send_lookup const& question);
    void check_start(entry const& process, send_start const& start);
    void check_reply(reply const& given);
    void check_report(caller_job const& job, wire::job_report const& report);
    void leave(entry& process);
    void stop(entry& process);

    void add_entry(std::string const& name);
    void add_agent(std::string const& name);
    void restart_agent(std::size_t index);
    void cut(link& between, model::process_id const& entry_id, test_agent const& agent);
    void connect(link& between, model::process_id const& entry_id, test_agent& agent);
    void send_pong(link& between, entry const& process);
    void add_job();
    void ask();
    void send_request(sent_request request, model::process_id const& to, std::uint64_t number);
    entry* find_entry(model::process_id const& id);
    entry& any_entry();
    [[nodiscard]] bool is_confirmed(entry const& process) const;
    [[nodiscard]] moment moment_of(entry const& process) const;
    std::int64_t delay();
    log_state& append();

    random_source random;
    /// One in so many steps has each fault of an entry.
    std::uint64_t entry_fault_rarity = 0;
    std::int64_t now = 0;
    std::uint64_t last_incarnation = 0;
    std::vector<log_state> log{log_state{}};
    std::vector<std::unique_ptr<entry>> entries;
    std::vector<std::unique_ptr<test_agent>> agents;
    std::vector<std::int64_t> agents_paused_until;
    std::map<std::pair<model::process_id, model::process_id>, link> links;
    std::vector<flight> flights;
    std::vector<caller_job> jobs;
    std::map<std::uint64_t, sent_request> requests;
    std::uint64_t last_request = 0;
    std::uint64_t last_link = 0;
};

} // namespace filbertroad::submission::internal

#endif
