// A proposed record change and its state transitions.
//
// The transitions are pure functions. The caller writes the result to the
// platform on condition that the row has not changed since it was read.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.hpp"
#include "decision/records/configuration.hpp"
#include "decision/records/step.hpp"

namespace waxwingvalve::decision::records
{

enum class proposal_state : std::uint8_t
{
    open,
    reviewed,
    accepted,
    rejected,
};

// Invariant: `reviewer` is set once reviewed and is never the author.
struct proposal
{
    std::string id{};
    std::string author{};
    std::string reviewer{};
    // The operator who accepted or rejected the proposal.
    std::string closed_by{};
    proposal_state state{proposal_state::open};
    // Revision in force when the proposal was made.
    revision based_on{};
    // "kind/name" of the record.
    std::string record_key{};
    // Version of the record's row when the proposal was made; 0 if there was
    // none.
    std::uint64_t based_on_record{};
    // Revision created by accepting the proposal; 0 until then.
    revision accepted_as{};
    // The record's text as the author wrote it.
    std::string record_json{};
    // Steps taken so far, oldest first. Append-only.
    std::vector<step> steps{};
};

// Errors: proposal_closed; author_cannot_accept when the author reviews.
base::result<proposal> review(proposal subject, std::string_view reviewer);

// Errors: proposal_closed, review_missing. `head_revision` is the revision in
// force.
base::result<proposal> accept(
    proposal subject, std::string_view operator_name, revision head_revision);

// Errors: proposal_closed.
base::result<proposal> reject(proposal subject, std::string_view operator_name);

// Whether the proposal contains a step with this operation id. Tells whether a
// write took effect if its answer was lost.
bool has_operation(const proposal& subject, std::string_view operation_id);

std::string to_json(const proposal& subject);

// Errors: platform_answer_invalid.
base::result<proposal> parse_proposal(std::string_view json);

std::string_view to_string(proposal_state state);

} // namespace waxwingvalve::decision::records
