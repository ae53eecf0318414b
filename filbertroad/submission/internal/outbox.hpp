#ifndef FILBERTROAD_SUBMISSION_INTERNAL_OUTBOX_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_OUTBOX_HPP

/// The actions that an owner asks for, in order. Acknowledgements to one agent are joined into one
/// message, because answers arrive in bursts.

#include "filbertroad/submission/internal/errors.hpp"
#include "filbertroad/submission/shard_owner.hpp"

#include <map>
#include <utility>
#include <vector>

namespace filbertroad::submission::internal
{

class outbox
{
public:
    void add(action next) { this->actions.push_back(std::move(next)); }
    void answer(std::uint64_t request_number, wire::job_report report);
    void answer(std::uint64_t request_number, wire::request_error error);
    void refuse(std::uint64_t request_number, error_code code, std::string_view detail);
    void acknowledge(model::process_id const& agent, wire::task_ref const& task);
    /// The actions since the last call, acknowledgements last.
    [[nodiscard]] std::vector<action> take();

private:
    std::vector<action> actions;
    std::map<model::process_id, wire::finished_ack> acknowledgements;
};

} // namespace filbertroad::submission::internal

#endif
