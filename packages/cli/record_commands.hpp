// Operator commands that propose, review, reject and accept records.
//
// Every command can be repeated after a failure: a step that already took
// effect is reported as done and is not applied twice.
#pragma once

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <fmt/format.h>

#include "base/result.hpp"
#include "cli/record_store.hpp"
#include "decision/records/consistency.hpp"
#include "decision/records/operator_keys.hpp"
#include "decision/records/proposal.hpp"
#include "schema/records.hpp"

namespace waxwingvalve::cli
{

// The operator who runs the commands. Without keys, steps are not signed and
// signatures are not checked.
struct operator_identity
{
    std::string name{};
    std::optional<decision::records::operator_keys> keys{};
};

// Returns `prefix`, a dash and 16 random hex digits, such as
// "p-0123456789abcdef". Collisions are negligible, and a proposal is only
// written if no row has its id.
std::string generate_id(std::string_view prefix);

store::row_write make_row_write(
    std::string_view table, std::string_view key, std::string value);

// Builds the transaction that puts an accepted proposal in force.
store::transaction make_accept_transaction(
    const decision::records::proposal& accepted,
    std::uint64_t proposal_version,
    const stored_configuration& current);

// Rejects a proposal whose record changed after it was proposed. Errors:
// proposal_outdated; the detail names the accepted change and how to proceed.
base::result<void> check_not_outdated(
    const decision::records::proposal& candidate,
    const stored_configuration& current);

// The proposal commands, run as one operator against a table service.
template <store::table_service Table>
class record_commands
{
public:
    using proposal = decision::records::proposal;
    using proposal_awaitable = boost::asio::awaitable<base::result<proposal>>;

    record_commands(Table& table, operator_identity identity)
        : store_{table}, identity_{std::move(identity)}
    {
    }

    // Stores a proposal for this record and returns it with its id. Errors:
    // those of parse_record, check_consistency and the platform.
    proposal_awaitable propose(std::string record_json)
    {
        const auto parsed = schema::parse_record(record_json);
        if (!parsed)
        {
            co_return failure(parsed.error());
        }
        const auto current = co_await store_.load_configuration();
        if (!current)
        {
            co_return failure(current.error());
        }
        const auto& base_configuration = current.value();
        if (auto consistent = decision::records::check_consistency(
                base_configuration.value, parsed.value());
            !consistent)
        {
            co_return failure(consistent.error());
        }
        proposal draft{
            .id = generate_id("p"),
            .author = identity_.name,
            .based_on = base_configuration.value.revision,
            .record_key = decision::records::record_key(
                parsed.value().kind, parsed.value().name),
            .record_json = std::move(record_json)};
        if (const auto row =
                base_configuration.row_versions.find(draft.record_key);
            row != base_configuration.row_versions.end())
        {
            draft.based_on_record = row->second;
        }
        co_return co_await store(std::move(draft), 0, "propose");
    }

    // Approves another operator's proposal. Errors: those of records::review,
    // signature checks and the platform.
    proposal_awaitable review(std::string id)
    {
        auto found = co_await load(std::move(id));
        if (!found)
        {
            co_return failure(found.error());
        }
        auto& candidate = found.value().value;
        if (candidate.reviewer == identity_.name)
        {
            co_return candidate;
        }
        auto changed = decision::records::review(candidate, identity_.name);
        if (!changed)
        {
            co_return failure(changed.error());
        }
        co_return co_await store(
            std::move(changed).value(), found.value().row_version, "review");
    }

    // Closes a proposal. Errors: those of records::reject, signature checks and
    // the platform.
    proposal_awaitable reject(std::string id)
    {
        auto found = co_await load(std::move(id));
        if (!found)
        {
            co_return failure(found.error());
        }
        auto& candidate = found.value().value;
        if (already_done(
                candidate, decision::records::proposal_state::rejected))
        {
            co_return candidate;
        }
        auto changed = decision::records::reject(candidate, identity_.name);
        if (!changed)
        {
            co_return failure(changed.error());
        }
        co_return co_await store(
            std::move(changed).value(), found.value().row_version, "reject");
    }

    // Puts the record in force as the next revision, in one transaction.
    // If another record is accepted concurrently, retries with the next
    // revision number.
    proposal_awaitable accept(std::string id)
    {
        constexpr int max_attempts = 8;
        for (int attempt = 0; attempt < max_attempts; ++attempt)
        {
            auto found = co_await load(id);
            if (!found)
            {
                co_return failure(found.error());
            }
            auto& candidate = found.value().value;
            if (already_done(
                    candidate, decision::records::proposal_state::accepted))
            {
                co_return candidate;
            }
            const auto current = co_await store_.load_configuration();
            if (!current)
            {
                co_return failure(current.error());
            }
            auto changed =
                make_accepted_proposal(candidate, current.value(), attempt > 0);
            if (!changed)
            {
                co_return failure(changed.error());
            }
            const auto& accepted = changed.value();
            const auto outcome = co_await store_.commit_with_retry(
                make_accept_transaction(
                    accepted, found.value().row_version, current.value()),
                accepted.id,
                accepted.steps.back().operation_id);
            if (!outcome)
            {
                co_return failure(
                    add_retry_hint(outcome.error(), "accept", id));
            }
            if (outcome.value() == write_outcome::written)
            {
                co_return accepted;
            }
        }
        co_return base::fail(
            base::result_code::accept_lost_race,
            "others accept without pause; run `waxwingvalve accept " + id +
                "` again");
    }

    // Loads a proposal and verifies its signatures if keys are set.
    boost::asio::awaitable<base::result<stored_proposal>> load(std::string id)
    {
        auto found = co_await store_.load(std::move(id));
        if (found && identity_.keys)
        {
            if (auto verified = decision::records::verify(
                    *identity_.keys, found.value().value);
                !verified)
            {
                co_return failure(verified.error());
            }
        }
        co_return found;
    }

    // Verifies the signatures of an accepted change if keys are set. Errors:
    // operator_unknown, signature_invalid.
    base::result<void> check(
        const decision::records::accepted_change& change) const
    {
        if (!identity_.keys)
        {
            return base::success();
        }
        return decision::records::verify(*identity_.keys, change);
    }

    record_store<Table>& store() { return store_; }

private:
    static auto failure(base::error reason)
    {
        return boost::outcome_v2::failure(std::move(reason));
    }

    static base::error add_retry_hint(
        base::error reason, std::string_view action, std::string_view id)
    {
        reason.detail += fmt::format(
            "; run `waxwingvalve {} {}` again, it tells what became of it",
            action,
            id);
        return reason;
    }

    bool already_done(
        const proposal& candidate,
        decision::records::proposal_state state) const
    {
        return candidate.state == state &&
               candidate.closed_by == identity_.name;
    }

    base::result<void> add_step(proposal& changed, std::string action) const
    {
        decision::records::step new_step{
            .action = std::move(action),
            .by = identity_.name,
            .operation_id = generate_id("o")};
        if (identity_.keys)
        {
            BOOST_OUTCOME_TRY(
                new_step.signature,
                decision::records::sign(*identity_.keys, changed, new_step));
        }
        changed.steps.push_back(std::move(new_step));
        return base::success();
    }

    // `after_conflict` is true if another write was committed between an
    // earlier attempt's reads and its commit.
    base::result<proposal> make_accepted_proposal(
        const proposal& candidate,
        const stored_configuration& current,
        bool after_conflict) const
    {
        auto changed = decision::records::accept(
            candidate, identity_.name, current.value.revision);
        if (!changed)
        {
            return to_race_error(changed.error(), after_conflict);
        }
        if (auto up_to_date = check_not_outdated(candidate, current);
            !up_to_date)
        {
            return to_race_error(up_to_date.error(), after_conflict);
        }
        BOOST_OUTCOME_TRY(
            const auto parsed, schema::parse_record(candidate.record_json));
        BOOST_OUTCOME_TRY(
            decision::records::check_consistency(current.value, parsed));
        BOOST_OUTCOME_TRY(add_step(changed.value(), "accept"));
        return changed;
    }

    static base::result<proposal> to_race_error(
        base::error reason, bool after_conflict)
    {
        if (after_conflict)
        {
            reason.code = base::result_code::accept_lost_race;
        }
        return failure(std::move(reason));
    }

    proposal_awaitable store(
        proposal changed, std::uint64_t row_version, std::string action)
    {
        using decision::records::proposals_table;
        if (auto added = add_step(changed, action); !added)
        {
            co_return failure(added.error());
        }
        store::transaction change;
        change.conditions.push_back(
            {std::string{proposals_table}, changed.id, row_version});
        change.writes.push_back(make_row_write(
            proposals_table, changed.id, decision::records::to_json(changed)));
        const auto outcome = co_await store_.commit_with_retry(
            change, changed.id, changed.steps.back().operation_id);
        if (!outcome)
        {
            co_return failure(add_retry_hint(
                outcome.error(),
                action == "propose" ? "diff" : action,
                changed.id));
        }
        if (outcome.value() == write_outcome::conflict)
        {
            co_return failure(add_retry_hint(
                {base::result_code::platform_conflict,
                 changed.id + " was changed by the other operator"},
                action,
                changed.id));
        }
        co_return changed;
    }

    record_store<Table> store_;
    operator_identity identity_;
};

} // namespace waxwingvalve::cli
