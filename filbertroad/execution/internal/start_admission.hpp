#ifndef FILBERTROAD_EXECUTION_INTERNAL_START_ADMISSION_HPP
#define FILBERTROAD_EXECUTION_INTERNAL_START_ADMISSION_HPP

/// Decides whether an agent accepts a start. The decision depends on the confirmation, on whether
/// zone and target are in service, on the announcements of the target, and on which entries may
/// send starts.
///
///     admission.state_received(state);
///     admission.pong_received(entry, pong, now);
///     if (auto const reason = admission.find_refusal(entry, now)) refuse(*reason);
///
/// Not thread-safe.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/execution/agent_core.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace filbertroad::execution::internal
{

class start_admission
{
public:
    start_admission(std::string zone, agent_options const& options);

    /// Ignores a state that is not newer than the known one.
    void state_received(wire::agent_state const& state);
    void pong_received(model::process_id const& entry, wire::pong const& pong,
                       base::steady_time now);
    /// Returns true if target(), which is sent to entries, has changed.
    bool target_announced(wire::target_description const& target, base::steady_time now);
    bool target_leaving(base::steady_time now);
    bool start_draining();
    /// Returns true if the target has become unreachable since the last call, because its
    /// announcements timed out.
    bool check_target_timeout(base::steady_time now);

    /// Excludes the removed incarnations permanently. Returns false if the sender is itself
    /// excluded, or if the fence is of an old view and the sender is not a member.
    bool fence(model::process_id const& sender, wire::fence const& fence);
    /// Excludes a member until a view newer than `view` lists it.
    void promise(model::process_id const& missing, std::uint64_t view);
    [[nodiscard]] bool is_excluded(model::process_id const& entry) const;
    [[nodiscard]] bool is_member(model::process_id const& entry) const;

    /// The reason to refuse a start of `entry`; empty if it may be accepted.
    [[nodiscard]] std::optional<wire::refusal> find_refusal(model::process_id const& entry,
                                                            base::steady_time now) const;
    /// The part of find_refusal() that does not depend on the sender.
    [[nodiscard]] std::optional<wire::refusal> find_agent_refusal(base::steady_time now) const;
    /// When the current confirmation expires.
    [[nodiscard]] base::steady_time confirmed_until() const;

    [[nodiscard]] wire::agent_state const& state() const { return this->newest_state; }
    /// Newest view that a state or a fence has named.
    [[nodiscard]] std::uint64_t view() const { return this->newest_view; }
    [[nodiscard]] wire::target_description target() const;

private:
    /// The newest confirmation from an entry.
    struct entry_confirmation
    {
        base::steady_time as_of;
        std::uint64_t offset = 0;
    };

    void apply_confirmation(model::process_id const& entry, entry_confirmation const& confirmation);
    [[nodiscard]] std::optional<wire::refusal> find_target_refusal(base::steady_time now) const;

    std::string zone;
    agent_options options;
    wire::agent_state newest_state;
    bool has_state = false;
    bool zone_in_service = true;
    std::set<std::string> targets_out_of_service;
    std::uint64_t newest_view = 0;
    std::map<model::process_id, entry_confirmation> confirmations;
    std::optional<base::steady_time> confirmed_as_of;
    /// The newest incarnation of a name that fences excluded, and the newest view of these fences.
    struct fenced_name
    {
        std::uint64_t incarnation = 0;
        std::uint64_t view = 0;
    };
    std::map<std::string, fenced_name> fenced_names;
    std::map<model::process_id, std::uint64_t> promised_views;
    std::optional<wire::target_description> announced_target;
    base::steady_time announced_at;
    bool reachable = false;
    bool leaving = false;
    base::steady_time leaving_at;
    bool draining = false;
};

} // namespace filbertroad::execution::internal

#endif
