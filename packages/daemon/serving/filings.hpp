// The gate that every non-idempotent operation passes before it is tried.
//
// A key under this daemon's own prefix is judged by its ledger, without any
// store. A key under another daemon's prefix is passed to that daemon, which
// alone knows it. A key without a prefix is claimed in the platform's table.
// `not-run` is said only of a key that never ran and never will; a refusal
// that can't promise this says `unknown`.
//
// Touched by the serving thread alone.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "daemon/serving/answers.hpp"
#include "daemon/serving/attempts.hpp"
#include "daemon/serving/filing_flight.hpp"
#include "daemon/serving/filings_claims.hpp"
#include "daemon/serving/job.hpp"
#include "daemon/serving/placement.hpp"
#include "decision/filings/key_ledger.hpp"
#include "schema/settings.hpp"
#include "store/http_table_service.hpp"

namespace waxwingvalve::daemon::serving
{

// Name of the daemon that passed a filing to the daemon that knows its key.
// Such a filing is judged like any other, but never passed for its key again.
inline constexpr std::string_view key_passed_field = "Waxwing-Key-Passed-By";

class filing_gate
{
public:
    filing_gate(
        boost::asio::any_io_executor executor,
        const schema::daemon_settings& settings,
        placement& places,
        attempts& tries,
        std::uint64_t incarnation);

    // Prefix for keys that callers begin now.
    std::string key_prefix();

    // The answer to a filing, which runs at most once under its key.
    boost::asio::awaitable<net::http_response> serve(job work);

    // Refuses a request before it is known what operation it is. Without a
    // key it did not run; with one, only the ledger can promise that.
    net::http_response refuse_early(
        const net::http_request& in, const base::error& reason);

    // Filings that run now, with or without a caller that waits.
    std::size_t running() const { return flights_.size(); }

private:
    using ledger_type = decision::filings::key_ledger<net::http_response>;
    using key_admission = decision::filings::key_admission<net::http_response>;
    using flight_pointer = std::shared_ptr<filing_flight>;

    // A filing whose key has been read.
    struct keyed_job
    {
        job work{};
        std::string text{};
        decision::filings::idempotency_key key{};
        decision::filings::request_digest digest{};
    };

    boost::asio::awaitable<net::http_response> serve_own(keyed_job filing);
    boost::asio::awaitable<net::http_response> serve_claimed(keyed_job filing);
    boost::asio::awaitable<net::http_response> serve_elsewhere(
        keyed_job filing);

    flight_pointer find_flight(const std::string& text) const;
    flight_pointer begin_flight(const keyed_job& filing);
    boost::asio::awaitable<void> run_own(
        keyed_job filing, flight_pointer flight);
    boost::asio::awaitable<void> run_claimed(
        keyed_job filing, flight_pointer flight);
    boost::asio::awaitable<finished> run_once(job& work);
    boost::asio::awaitable<void> record_claim(
        std::string text, decision::filings::claim_row row);
    boost::asio::awaitable<net::http_response> join(
        flight_pointer flight, base::instant deadline);
    std::string next_claim_id();

    boost::asio::any_io_executor executor_;
    const schema::daemon_settings& settings_;
    placement& places_;
    attempts& attempts_;
    std::uint64_t incarnation_;
    ledger_type ledger_;
    filings_claims<store::http_table_service> claims_;
    // Invariant: one for each key that runs here now, by the key's text.
    std::map<std::string, flight_pointer> flights_;
    std::uint64_t last_claim_{0};
};

} // namespace waxwingvalve::daemon::serving
