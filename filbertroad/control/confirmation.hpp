#ifndef FILBERTROAD_CONTROL_CONFIRMATION_HPP
#define FILBERTROAD_CONTROL_CONFIRMATION_HPP

/// Tells whether a process knows that its control state was the newest a short time ago. Sections
/// "Confirmation" and "Log outage or partition" of docs/design.md give the rules.
///
///     confirmation.log_read_finished(sent_at, offset);       // the log had nothing newer
///     confirmation.log_read_failed(now);
///     confirmation.probe_answered(peer, reply, sent_at);     // while the log cannot be read
///     if (confirmation.is_confirmed(now)) accept(key);
///
/// Not safe for several threads.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/wire/link.pb.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace filbertroad::control
{

/// A process acts on its state for this long after the state was known to be the newest.
inline constexpr std::chrono::milliseconds confirmation_max_age{2000};

enum class confirmation_source
{
    none,
    log,
    peer,
    outage,
};

/// How an entry knows that its state is the newest.
class entry_confirmation
{
public:
    /// The view and the zone of this entry; call again after each change of the view.
    void set_members(model::process_id const& self, std::span<wire::member const> members);
    /// The share of the registered agents that this entry is linked with.
    void set_linked_agents(std::size_t linked, std::size_t registered);

    /// A read sent at `sent_at` found no record after the state.
    void log_read_finished(base::steady_time sent_at, std::uint64_t next_offset);
    /// A read failed or timed out.
    void log_read_failed(base::steady_time now);
    /// A peer answered a probe that was sent at `sent_at`. Returns true if the peer has newer state
    /// that should be fetched.
    bool probe_answered(model::process_id const& peer, wire::probe_reply const& reply,
                        base::steady_time sent_at);

    [[nodiscard]] bool log_readable() const;
    [[nodiscard]] bool is_confirmed(base::steady_time now) const;
    /// Age of the knowledge that the state was the newest; empty if never confirmed.
    [[nodiscard]] std::optional<std::chrono::milliseconds> age(base::steady_time now) const;
    [[nodiscard]] confirmation_source source(base::steady_time now) const;
    /// What this entry answers to a probe.
    [[nodiscard]] wire::probe_reply answer_probe(base::steady_time now) const;
};

} // namespace filbertroad::control

#endif
