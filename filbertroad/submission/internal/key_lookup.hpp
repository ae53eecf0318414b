#ifndef FILBERTROAD_SUBMISSION_INTERNAL_KEY_LOOKUP_HPP
#define FILBERTROAD_SUBMISSION_INTERNAL_KEY_LOOKUP_HPP

/// Requests for keys that another member may hold. The requests wait until every other member has
/// answered that it does not hold the key, and until the recovery of removed members is complete.

#include "filbertroad/base/clock.hpp"
#include "filbertroad/model/job_key.hpp"
#include "filbertroad/submission/shard_owner.hpp"
#include "filbertroad/wire/link.pb.h"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace filbertroad::submission::internal
{

struct submit_call
{
    wire::submit_request request;
    job_limits limits;
};

struct query_call
{
    wire::job_query query;
};

struct cancel_call
{
    wire::job_query query;
};

struct acknowledge_call
{
    wire::job_query query;
};

using call = std::variant<submit_call, query_call, cancel_call, acknowledge_call>;

struct pending_call
{
    std::uint64_t request_number = 0;
    call content;
    std::size_t bytes = 0;
    /// When the request is refused as outcome_unknown, so that the caller retries it.
    base::steady_time deadline;
};

struct key_lookup
{
    base::system_time created;
    std::uint64_t view = 0;
    /// The members that have not answered, and when to resend the lookup to each.
    std::map<model::process_id, base::steady_time> awaited_members;
    std::vector<pending_call> calls;
    /// On completion the interrupted job is ended, because its caller did not resubmit it. Such a
    /// lookup goes on without a request.
    bool ends_interrupted_job = false;
};

} // namespace filbertroad::submission::internal

#endif
