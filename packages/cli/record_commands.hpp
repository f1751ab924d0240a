// The operators' commands that write, review and accept records.
//
// Each may be given again after any failure: what was done already is
// reported as done, and nothing is done twice.
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

// Who is at work, and with which keys; without keys nothing is signed and
// no signature is checked.
struct operator_identity
{
    std::string name{};
    std::optional<decision::records::operator_keys> keys{};
};

// "p-0123456789abcdef"; the chance of meeting one again is negligible, and a
// proposal is only ever written under an id that no row has.
std::string new_id(std::string_view prefix);

store::row_write write_row(
    std::string_view table, std::string_view key, std::string value);

// The transaction that puts an accepted proposal in force.
store::transaction accept_transaction(
    const decision::records::proposal& accepted,
    std::uint64_t proposal_version,
    const stored_configuration& in_force);

// Refuses a proposal whose record was changed since it was made. Errors:
// proposal_outdated, naming who changed it and how to carry on.
base::result<void> check_not_outdated(
    const decision::records::proposal& one,
    const stored_configuration& in_force);

template <store::table_service Table>
class record_commands
{
public:
    using proposal = decision::records::proposal;
    using answer = boost::asio::awaitable<base::result<proposal>>;

    record_commands(Table& table, operator_identity who)
        : store_{table}, who_{std::move(who)}
    {
    }

    // Stores a proposal of this record and returns it with its id. Errors:
    // those of parse_record and check_consistency, and of the platform.
    answer propose(std::string record_json)
    {
        const auto parsed = schema::parse_record(record_json);
        if (!parsed)
        {
            co_return failure(parsed.error());
        }
        const auto in_force = co_await store_.load_in_force();
        if (!in_force)
        {
            co_return failure(in_force.error());
        }
        const auto& all = in_force.value();
        if (auto fits =
                decision::records::check_consistency(all.value, parsed.value());
            !fits)
        {
            co_return failure(fits.error());
        }
        proposal drafted{
            .id = new_id("p"),
            .author = who_.name,
            .based_on = all.value.revision,
            .record_key = decision::records::record_key(
                parsed.value().kind, parsed.value().name),
            .record_json = std::move(record_json)};
        if (const auto row = all.row_versions.find(drafted.record_key);
            row != all.row_versions.end())
        {
            drafted.based_on_record = row->second;
        }
        co_return co_await store(std::move(drafted), 0, "propose");
    }

    // Errors: those of records::review, of the signatures and the platform.
    answer review(std::string id)
    {
        auto found = co_await load(std::move(id));
        if (!found)
        {
            co_return failure(found.error());
        }
        auto& one = found.value().value;
        if (one.reviewer == who_.name)
        {
            co_return one;
        }
        auto changed = decision::records::review(one, who_.name);
        if (!changed)
        {
            co_return failure(changed.error());
        }
        co_return co_await store(
            std::move(changed).value(), found.value().row_version, "review");
    }

    answer reject(std::string id)
    {
        auto found = co_await load(std::move(id));
        if (!found)
        {
            co_return failure(found.error());
        }
        auto& one = found.value().value;
        if (done_before(one, decision::records::proposal_state::rejected))
        {
            co_return one;
        }
        auto changed = decision::records::reject(one, who_.name);
        if (!changed)
        {
            co_return failure(changed.error());
        }
        co_return co_await store(
            std::move(changed).value(), found.value().row_version, "reject");
    }

    // Puts the record in force as the next revision, in one transaction.
    // Another record's accept that comes first only moves the revision on.
    answer accept(std::string id)
    {
        constexpr int most_tries = 8;
        for (int tries = 0; tries < most_tries; ++tries)
        {
            auto found = co_await load(id);
            if (!found)
            {
                co_return failure(found.error());
            }
            auto& one = found.value().value;
            if (done_before(one, decision::records::proposal_state::accepted))
            {
                co_return one;
            }
            const auto in_force = co_await store_.load_in_force();
            if (!in_force)
            {
                co_return failure(in_force.error());
            }
            auto changed = accepted_against(one, in_force.value(), tries > 0);
            if (!changed)
            {
                co_return failure(changed.error());
            }
            const auto& accepted = changed.value();
            const auto end = co_await store_.settle(
                accept_transaction(
                    accepted, found.value().row_version, in_force.value()),
                accepted.id,
                accepted.steps.back().operation_id);
            if (!end)
            {
                co_return failure(repeatable(end.error(), "accept", id));
            }
            if (end.value() == settled::written)
            {
                co_return accepted;
            }
        }
        co_return base::fail(
            base::result_code::accept_lost_race,
            "others accept without pause; run `waxwingvalve accept " + id +
                "` again");
    }

    // A proposal with its signatures checked.
    boost::asio::awaitable<base::result<stored_proposal>> load(std::string id)
    {
        auto found = co_await store_.load(std::move(id));
        if (found && who_.keys)
        {
            if (auto signed_well =
                    decision::records::verify(*who_.keys, found.value().value);
                !signed_well)
            {
                co_return failure(signed_well.error());
            }
        }
        co_return found;
    }

    // Errors: operator_unknown, signature_invalid.
    base::result<void> check(
        const decision::records::accepted_change& change) const
    {
        if (!who_.keys)
        {
            return base::success();
        }
        return decision::records::verify(*who_.keys, change);
    }

    record_store<Table>& store() { return store_; }

private:
    static auto failure(base::error reason)
    {
        return boost::outcome_v2::failure(std::move(reason));
    }

    static base::error repeatable(
        base::error reason, std::string_view action, std::string_view id)
    {
        reason.detail += fmt::format(
            "; run `waxwingvalve {} {}` again, it tells what became of it",
            action,
            id);
        return reason;
    }

    bool done_before(
        const proposal& one, decision::records::proposal_state state) const
    {
        return one.state == state && one.closed_by == who_.name;
    }

    base::result<void> add_step(proposal& changed, std::string action) const
    {
        decision::records::step done{
            .action = std::move(action),
            .by = who_.name,
            .operation_id = new_id("o")};
        if (who_.keys)
        {
            BOOST_OUTCOME_TRY(
                done.signature,
                decision::records::sign(*who_.keys, changed, done));
        }
        changed.steps.push_back(std::move(done));
        return base::success();
    }

    // `raced` is true when another write came between an earlier try's reads
    // and its commit.
    base::result<proposal> accepted_against(
        const proposal& one,
        const stored_configuration& in_force,
        bool raced) const
    {
        auto changed =
            decision::records::accept(one, who_.name, in_force.value.revision);
        if (!changed)
        {
            return lost_race(changed.error(), raced);
        }
        if (auto fresh = check_not_outdated(one, in_force); !fresh)
        {
            return lost_race(fresh.error(), raced);
        }
        BOOST_OUTCOME_TRY(
            const auto parsed, schema::parse_record(one.record_json));
        BOOST_OUTCOME_TRY(
            decision::records::check_consistency(in_force.value, parsed));
        BOOST_OUTCOME_TRY(add_step(changed.value(), "accept"));
        return changed;
    }

    static base::result<proposal> lost_race(base::error reason, bool raced)
    {
        if (raced)
        {
            reason.code = base::result_code::accept_lost_race;
        }
        return failure(std::move(reason));
    }

    answer store(
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
        change.writes.push_back(write_row(
            proposals_table, changed.id, decision::records::to_json(changed)));
        const auto end = co_await store_.settle(
            change, changed.id, changed.steps.back().operation_id);
        if (!end)
        {
            co_return failure(repeatable(
                end.error(),
                action == "propose" ? "diff" : action,
                changed.id));
        }
        if (end.value() == settled::conflict)
        {
            co_return failure(repeatable(
                {base::result_code::platform_conflict,
                 changed.id + " was changed by the other operator"},
                action,
                changed.id));
        }
        co_return changed;
    }

    record_store<Table> store_;
    operator_identity who_;
};

} // namespace waxwingvalve::cli
