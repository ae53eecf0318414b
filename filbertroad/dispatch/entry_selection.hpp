#ifndef FILBERTROAD_DISPATCH_ENTRY_SELECTION_HPP
#define FILBERTROAD_DISPATCH_ENTRY_SELECTION_HPP

/// Decides to which entries an agent is linked. An agent is linked to a bounded number of entries,
/// so that its work for reports does not grow with the fleet. Each agent ranks the entries by a
/// hash of both names (rendezvous hashing): the agents of an entry are spread over all zones and
/// racks, and the loss or addition of an entry changes the links of few agents.
///
///     entry_selection selection("agent-1", 12);
///     selection.add("10.0.0.1:7720", now);
///     for (auto const& address : selection.due(now)) connect(address);
///     selection.connected("10.0.0.1:7720", now);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/dispatch/messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertroad::dispatch
{

/// `entries` in the order in which `agent` prefers them.
[[nodiscard]] std::vector<std::string> rank_entries(std::string_view agent,
                                                    std::vector<std::string> entries);

class entry_selection
{
public:
    /// `max_links` is the number of entries to which the agent is linked, at least 1.
    entry_selection(std::string agent, std::size_t max_links);

    /// Adds an entry by the address at which it accepts links. Returns whether it is new.
    bool add(std::string const& address);
    [[nodiscard]] bool contains(std::string const& address) const;
    /// Number of known entries.
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

    /// Entries to connect to now. The caller reports the attempt with started(), and its result
    /// with connected() or failed(). An entry that does not answer is replaced by the next in rank,
    /// and is still tried from time to time so that it is in use again when it is back.
    [[nodiscard]] std::vector<std::string> due(base::steady_time now) const;
    void started(std::string const& address);
    void connected(std::string const& address, base::steady_time now);
    void failed(std::string const& address, base::steady_time now);
    /// A surplus link was ended.
    void released(std::string const& address);

    /// Linked entries beyond the bound, whose places entries of higher rank have taken again. The
    /// caller ends these links once they carry no run.
    [[nodiscard]] std::vector<std::string> surplus(base::steady_time now) const;

private:
    enum class link_status
    {
        idle,
        connecting,
        linked,
    };

    struct entry_record
    {
        std::string address;
        std::uint64_t rank = 0;
        link_status status = link_status::idle;
        /// Attempts that failed since the last link.
        std::uint32_t failures = 0;
        milliseconds backoff{};
        base::steady_time next_attempt{};
        base::steady_time linked_since{};
    };

    /// Precondition: the entry was added.
    [[nodiscard]] entry_record& at(std::string const& address);

    std::string agent;
    std::size_t max_links;
    /// Ordered by rank.
    std::vector<entry_record> entries;
};

} // namespace filbertroad::dispatch

#endif
