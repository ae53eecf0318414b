#include "filbertroad/dispatch/entry_selection.hpp"

#include "filbertroad/base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace filbertroad::dispatch
{
namespace
{

/// Delay between attempts to connect to an entry: doubles from the initial value to the maximum.
constexpr milliseconds initial_backoff{25};
constexpr milliseconds max_backoff{400};

/// Consecutive failures after which an entry counts as unreachable and another one takes its place.
/// A link that was reset is usually re-established by the first attempt.
constexpr std::uint32_t failures_before_replacement = 2;

/// Time for which the links to entries of higher rank must have lasted before a surplus link is
/// released.
constexpr milliseconds release_delay{2'000};

std::uint64_t rank_of(std::string_view agent, std::string_view entry)
{
    return base::hash64(entry, base::hash64(agent));
}

} // namespace

std::vector<std::string> rank_entries(std::string_view agent, std::vector<std::string> entries)
{
    std::sort(entries.begin(), entries.end(),
              [&](std::string const& left, std::string const& right)
              { return rank_of(agent, left) > rank_of(agent, right); });
    return entries;
}

entry_selection::entry_selection(std::string agent, std::size_t max_links)
    : agent(std::move(agent)), max_links(max_links)
{
}

bool entry_selection::add(std::string const& address)
{
    if (this->contains(address))
    {
        return false;
    }
    entry_record added;
    added.address = address;
    added.rank = rank_of(this->agent, address);
    added.backoff = initial_backoff;
    auto const position =
        std::find_if(this->entries.begin(), this->entries.end(),
                     [&](entry_record const& item) { return item.rank < added.rank; });
    this->entries.insert(position, std::move(added));
    return true;
}

bool entry_selection::contains(std::string const& address) const
{
    return std::any_of(this->entries.begin(), this->entries.end(),
                       [&](entry_record const& item) { return item.address == address; });
}

entry_selection::entry_record& entry_selection::at(std::string const& address)
{
    return *std::find_if(this->entries.begin(), this->entries.end(),
                         [&](entry_record const& item) { return item.address == address; });
}

std::vector<std::string> entry_selection::due(base::steady_time now) const
{
    std::vector<std::string> addresses;
    std::size_t chosen = 0;
    for (auto const& item : this->entries)
    {
        if (chosen == this->max_links)
        {
            break;
        }
        if (item.status == link_status::idle && now >= item.next_attempt)
        {
            addresses.push_back(item.address);
        }
        chosen += item.failures < failures_before_replacement ? 1 : 0;
    }
    return addresses;
}

void entry_selection::started(std::string const& address)
{
    this->at(address).status = link_status::connecting;
}

void entry_selection::connected(std::string const& address, base::steady_time now)
{
    auto& item = this->at(address);
    item.status = link_status::linked;
    item.failures = 0;
    item.backoff = initial_backoff;
    item.linked_since = now;
}

void entry_selection::failed(std::string const& address, base::steady_time now)
{
    auto& item = this->at(address);
    item.status = link_status::idle;
    ++item.failures;
    item.next_attempt = now + item.backoff;
    item.backoff = std::min(item.backoff * 2, max_backoff);
}

void entry_selection::released(std::string const& address)
{
    this->at(address).status = link_status::idle;
}

std::vector<std::string> entry_selection::surplus(base::steady_time now) const
{
    std::vector<std::string> addresses;
    std::size_t lasting = 0;
    for (auto const& item : this->entries)
    {
        if (item.status != link_status::linked)
        {
            continue;
        }
        if (lasting == this->max_links)
        {
            addresses.push_back(item.address);
        }
        else if (now - item.linked_since >= release_delay)
        {
            ++lasting;
        }
    }
    return addresses;
}

} // namespace filbertroad::dispatch
