#ifndef FILBERTROAD_DISPATCH_CANCEL_COORDINATOR_HPP
#define FILBERTROAD_DISPATCH_CANCEL_COORDINATOR_HPP

/// Decides about the cancel of a job that another entry may hold: which entries are asked, what
/// their answers mean, and when an entry that does not respond counts as gone. It does no input or
/// output: the process feeds events and executes the actions that take_actions() returns.
///
///     cancel_coordinator cancels(clock, "entry-1", {});
///     cancels.add_entry({"entry-2", "10.0.0.2:7720"});
///     cancels.cancel("4f3c", 1);
///     for (auto& action : cancels.take_actions()) carry_out(action);
///
/// A cancel is answered `not_held` only if it is certain of every known entry that the job is not
/// there: the entry has said so after the cancel arrived, its address refuses connections or is
/// used by another entry, or the entry is gone. Gone is an entry that has responded to no attempt
/// for longer than a job lasts, and to which no agent that this entry hears is linked: jobs that it
/// held have ended, and it can start no task at these agents.
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace filbertroad::dispatch
{

/// Timeouts and limits of a cancel coordinator.
struct cancel_limits
{
    /// Time after which a cancel is answered although entries have not responded. Less than the
    /// 1,500 ms for which callers wait at least.
    milliseconds answer_timeout{1'000};
    /// Time for a link to open and for the hello of the entry.
    milliseconds connect_timeout{1'000};
    /// Time between two attempts to connect to an address.
    milliseconds reconnect_interval{50};
    /// Time between two attempts while an entry does not respond and no cancel waits for it. Its
    /// silence counts only as long as attempts are made.
    milliseconds probe_interval{2'000};
    /// Silence after which an entry counts as gone, if no job lasts longer. Callers of the known
    /// deployments wait for up to 6 s.
    milliseconds gone_after{20'000};
    /// Interval between two calls of tick() above which this process counts as paused. No attempt
    /// was made meanwhile, so that silence is counted anew.
    milliseconds longest_tick_interval{500};
    /// Longest silence that a long job can call for.
    milliseconds max_gone_after{600'000};
    /// Time for which an unused link is kept open.
    milliseconds link_retention{30'000};
    /// Cancels that are asked about at the same time; more are answered `unconfirmed` at once. One
    /// takes about 1 KB with 12 entries.
    std::size_t max_pending = 2'000;
    /// Known entries. With more of them, no cancel can be confirmed.
    std::size_t max_entries = 512;
    /// Addresses of one entry; the newest are kept.
    std::size_t max_addresses = 4;
};

enum class cancel_result
{
    /// An entry held the job and has cancelled it.
    cancelled,
    /// No entry holds the job.
    not_held,
    /// An entry that may hold the job could not be asked.
    unconfirmed,
};

[[nodiscard]] std::string_view to_string(cancel_result result);

/// Open a link for cancels to the address.
struct open_peer_link
{
    std::string address;
};

struct close_peer_link
{
    std::string address;
};

/// Ask the entry at the end of the link to cancel the job, and whether it held it. `number` is
/// returned with the answer.
struct send_cancel_query
{
    std::string address;
    std::uint64_t number = 0;
    std::string key;
};

struct answer_cancel
{
    std::string key;
    cancel_result result = cancel_result::unconfirmed;
    /// As given to cancel().
    std::uint64_t caller = 0;
    /// Entries that could not be asked; set only for `cancel_result::unconfirmed`. An entry whose
    /// name is not known appears as "@" and its address.
    std::vector<std::string> missing;
    /// Time from the call of cancel().
    milliseconds latency{};
};

using cancel_action =
    std::variant<open_peer_link, close_peer_link, send_cancel_query, answer_cancel>;

class cancel_coordinator
{
public:
    /// `clock` must outlive the coordinator.
    cancel_coordinator(base::clock const& clock, std::string own_name, cancel_limits limits);

    /// Adds an entry, or another address of a known one.
    void add_entry(entry_address const& entry);
    /// Adds the address of an entry whose name is not known yet.
    void add_seed(std::string const& address);
    /// `agent` is linked to these entries now. Replaces its earlier list.
    void agent_lists(std::string const& agent, std::vector<std::string> const& entries);
    /// The link to `agent` is down, so that its list says nothing any more.
    void agent_lost(std::string const& agent);
    /// A job was received for which its caller waits for `time`. An entry counts as gone only
    /// after a longer silence.
    void observe_budget(milliseconds time);

    /// Asks all entries for a job that this entry does not hold. The answer is an action. A repeat
    /// for the same key asks again: answers to an earlier question do not cover a job that was
    /// submitted after them.
    void cancel(std::string const& key, std::uint64_t caller);
    /// Asks all entries to cancel a job that this entry held and has cancelled; its caller may have
    /// submitted it at another entry too. Nobody waits for the answers.
    void notify(std::string const& key);
    /// Answers all cancels because the process is about to exit.
    void abandon_all();

    /// The entry of this name has sent its hello on the link to `address`.
    void peer_identified(std::string const& address, std::string const& name);
    /// A message has arrived on the link to `address`.
    void message_received(std::string const& address);
    void answer_received(std::string const& address, std::uint64_t number, bool held);
    /// The link is down or could not be opened. `refused` says that the address refused the
    /// connection, so that there is no process.
    void link_closed(std::string const& address, bool refused);
    /// Applies timeouts and retries.
    void tick();

    /// Returns and removes the actions since the last call, in the order of execution.
    [[nodiscard]] std::vector<cancel_action> take_actions();
    [[nodiscard]] std::size_t pending() const { return this->rounds.size(); }
    /// Whether the entry does not hold a job any more, as far as its silence shows.
    [[nodiscard]] bool is_gone(std::string const& name) const;

private:
    enum class link_state
    {
        closed,
        connecting,
        /// The entry has sent its hello.
        open,
    };

    struct connection
    {
        link_state state = link_state::closed;
        /// Name in the hello; valid while open.
        std::string name;
        base::steady_time attempt_started{};
        base::steady_time next_attempt{};
        base::steady_time last_received{};
        base::steady_time last_used{};
    };

    /// An entry, by its name, or by "@" and the address of a seed.
    struct peer
    {
        std::vector<std::string> addresses;
        /// Begin of the first attempt since which the entry has not responded.
        std::optional<base::steady_time> silent_since;
        /// Agents that are linked to the entry.
        std::set<std::string> listed_by;
    };

    /// One question to all entries.
    struct round
    {
        std::string key;
        base::steady_time started{};
        /// Absent if nobody waits for the answer, or no longer.
        std::optional<std::uint64_t> caller;
        /// Entries that may hold the job.
        std::set<std::string> open_peers;
        /// Addresses at which the entry that is asked has no process.
        std::set<std::string> vacant;
    };

    [[nodiscard]] bool is_gone(peer const& item) const;
    [[nodiscard]] milliseconds gone_after() const;
    /// Returns null if there are too many entries. A new entry is added to the open rounds: it may
    /// hold their jobs.
    peer* find_or_add(std::string const& name);
    void start_round(std::string const& key, std::optional<std::uint64_t> caller);
    [[nodiscard]] std::vector<std::uint64_t> round_numbers() const;
    /// Entries that may hold the job of an open round.
    [[nodiscard]] std::vector<std::string> waited_for() const;
    /// Sends the question to the entry, or opens links to it.
    void ask(std::uint64_t number, std::string const& name);
    void open_link(std::string const& address);
    void mark_contact(std::string const& name);
    /// The entries at `address` have not responded since `since`.
    void mark_silent(std::string const& address, base::steady_time since);
    /// The entry `name` does not hold the job of the round.
    void settle(std::uint64_t number, std::string const& name);
    /// None of the entries `names`, which have this address, has a process there, except the one
    /// that is linked.
    void mark_vacant(std::uint64_t number, std::string const& address,
                     std::span<std::string const> names);
    /// The entry `name` has the address of a seed, and is asked instead of it.
    void replace_seed(std::string const& address, std::string const& name);
    void answer(round& item, cancel_result result);
    /// Ends a round whose time is over. Links without a response are closed.
    void time_out(round& item);
    void tick_rounds();
    void tick_links();
    void probe_silent();
    [[nodiscard]] std::vector<std::string> names_at(std::string const& address) const;
    /// Empty if the entry is not known.
    [[nodiscard]] std::vector<std::string> addresses_of(std::string const& name) const;

    base::clock const& clock;
    std::string own_name;
    cancel_limits limits;
    milliseconds longest_budget{};
    bool has_too_many_entries = false;
    std::map<std::string, peer> peers;
    /// By address.
    std::map<std::string, connection> links;
    std::map<std::uint64_t, round> rounds;
    std::uint64_t last_round = 0;
    std::optional<base::steady_time> last_tick;
    base::steady_time last_retry{};
    std::vector<cancel_action> actions;
};

} // namespace filbertroad::dispatch

#endif
