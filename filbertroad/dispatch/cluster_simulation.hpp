#ifndef FILBERTROAD_DISPATCH_CLUSTER_SIMULATION_HPP
#define FILBERTROAD_DISPATCH_CLUSTER_SIMULATION_HPP

/// Simulation of the entries, agents and targets of one service, with simulated time and faults
/// drawn from a seed. It checks the invariants at every step and collects violations as texts.
///
///     cluster_simulation cluster(seed);
///     cluster.run(std::chrono::seconds(10));
///     EXPECT_TRUE(cluster.violations().empty());

#include "filbertroad/dispatch/cancel_coordinator.hpp"
#include "filbertroad/dispatch/job_dispatcher.hpp"
#include "filbertroad/dispatch/run_agent.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace filbertroad::dispatch
{

class cluster_simulation
{
public:
    explicit cluster_simulation(std::uint64_t seed)
        : cluster_simulation(seed, default_entries, default_entries)
    {
    }

    /// Simulates `entry_count` entries, of which each agent is linked to `links_per_agent`.
    cluster_simulation(std::uint64_t seed, std::size_t entry_count, std::size_t links_per_agent);

    /// Whether a restarted target accepts orders that were sent to its earlier process, as happens
    /// when its id is reused.
    bool restarted_target_accepts_late_orders = false;
    /// Whether entries crash, callers lose their connections, and callers send a job again, through
    /// any entry, after a lost connection, no answer in time, or the outcome "given up".
    bool callers_resubmit = false;
    /// Share of the stops that targets leave unanswered and do not execute while they delay orders.
    double lost_stop_share = 0.3;
    /// Whether targets execute a renewal that they left unanswered later, also when they have
    /// restarted meanwhile. A renewal does not name the process that it is addressed to.
    bool executes_late_renewals = false;
    /// Whether an entry ignores a request whose caller has left before the entry handles it, and
    /// whether its cancels arrive before a later heartbeat, as in the processes.
    bool orders_input = false;
    /// Whether callers cancel jobs of several steps at any entry, and links between entries are
    /// cut. Entries then also know one that was replaced and whose address never responds.
    bool callers_cancel = false;
    /// Longest run time on a target of speed 1.
    milliseconds longest_run{400};
    ~cluster_simulation();

    void run(milliseconds time);

    [[nodiscard]] std::vector<std::string> const& violations() const
    {
        return this->violation_texts;
    }
    [[nodiscard]] std::size_t completed() const { return this->completed_jobs; }
    /// Surplus links that were closed.
    [[nodiscard]] std::size_t released_links() const { return this->released_link_count; }
    [[nodiscard]] std::size_t submitted() const { return this->submitted_jobs; }
    [[nodiscard]] std::size_t resubmitted() const { return this->resubmitted_jobs; }
    /// Cancels that were answered with this result by an entry that did not hold the job.
    [[nodiscard]] std::size_t cancels(cancel_result result) const
    {
        auto const found = this->cancel_results.find(result);
        return found == this->cancel_results.end() ? 0 : found->second;
    }

private:
    static constexpr std::size_t default_entries = 2;

    struct target;
    struct agent_process;
    struct entry_process;

    void step();
    void deliver_due();
    void schedule(milliseconds delay, std::function<void()> event);
    /// Like schedule(), on a link that delivers its messages in order.
    void send_in_order(std::string const& link, std::function<void()> event);
    [[nodiscard]] bool random_chance(double probability);
    [[nodiscard]] milliseconds random_duration(int min_ms, int max_ms);

    /// A job that its caller waits for.
    struct open_request
    {
        job_request job;
        entry_process* entry = nullptr;
        base::steady_time deadline{};
        std::uint32_t attempts = 1;
    };

    void submit_jobs();
    void submit(entry_process& entry, job_request job, std::uint32_t attempts);
    void inject_faults();
    void inject_caller_faults();
    void crash_entry(entry_process& entry);
    void reset_caller_connections(entry_process& entry);
    void expire_requests();
    /// Closes the caller's connection; the entry cancels the job, and the caller sends it again.
    void disconnect_caller(std::string const& key);
    /// Sends the open request of the caller again after the caller's delay.
    void resubmit(std::string const& key);
    /// Makes the coordinator of a new process of the entry.
    void reset_cancels(entry_process& entry);
    void cancel_jobs();
    void cut_entries();
    void acknowledge_cancel(std::string const& key, std::uint64_t submission);
    void tick_cancels(entry_process& entry);
    void carry_out_cancels(entry_process& from);
    void open_peer(entry_process& from, std::string const& address);
    void query_peer(entry_process& from, send_cancel_query const& query);
    /// Handles the event when the entry runs again, unless its process or the link ends before.
    void send_to_peer(entry_process& from, entry_process& to, std::function<void()> event);
    [[nodiscard]] bool is_cut(entry_process const& from, entry_process const& to) const;
    void connect(agent_process& agent, entry_process& entry);
    void connect_missing_links();
    /// Tells the agent's entry_selection which of its links were lost.
    void report_lost_links(agent_process& agent);
    void release_surplus_links(agent_process& agent);
    [[nodiscard]] bool can_connect(agent_process const& agent, entry_process const& entry) const;
    [[nodiscard]] entry_process& find_entry(std::string const& name);
    void send_statuses();
    void send_to_agent(agent_process& agent, entry_process& entry, std::function<void()> event);
    void send_to_entry(entry_process& entry, agent_process& agent, std::function<void()> event);

    void carry_out(entry_process& from);
    void carry_out(agent_process& from);
    void renew(agent_process& from);
    void answer_renewal(agent_process& from, renewal const& sent);
    void restart_target(agent_process& agent);
    void order_start(agent_process& from, start_run const& order);
    void order_stop(agent_process& from, stop_run const& order);
    void restart(agent_process& agent);

    void begin(target& managed_target, start_run const& order);
    void advance(target& managed_target);
    void check_capacity(target const& managed_target);
    void record_answer(entry_process const& from, answer_job const& answer);
    void add_violation(std::string text) { this->violation_texts.push_back(std::move(text)); }

    std::size_t links_per_agent;
    base::manual_clock clock;
    std::mt19937_64 generator;
    /// Draws the faults of callers, so that seeds give the same faults without them.
    std::mt19937_64 caller_generator;
    std::multimap<base::steady_time, std::function<void()>> events;
    /// Delivery time of the last message, by link and direction.
    std::map<std::string, base::steady_time> last_delivery;
    std::vector<std::unique_ptr<target>> targets;
    std::vector<std::unique_ptr<agent_process>> agents;
    std::vector<std::unique_ptr<entry_process>> entries;
    /// Targets on which a task is running now, by task.
    std::map<std::string, std::set<target const*>> running;
    std::set<std::string> started_jobs;
    std::map<std::string, job_outcome> outcomes;
    std::map<std::string, open_request> open_requests;
    std::set<std::string> resubmitted_keys;
    std::size_t submitted_jobs = 0;
    std::size_t resubmitted_jobs = 0;
    std::size_t completed_jobs = 0;
    std::size_t released_link_count = 0;
    /// Cancel of a job: its key, and the number of its submissions until then.
    struct sent_cancel
    {
        std::string key;
        std::uint64_t submission = 0;
        base::steady_time acknowledged{};
    };
    std::map<std::uint64_t, sent_cancel> sent_cancels;
    /// By key.
    std::map<std::string, sent_cancel> acknowledged_cancels;
    std::map<std::string, std::uint64_t> submissions;
    std::map<cancel_result, std::size_t> cancel_results;
    std::uint64_t last_cancel = 0;
    std::vector<std::string> violation_texts;
    bool delays_orders = false;
};

} // namespace filbertroad::dispatch

#endif
