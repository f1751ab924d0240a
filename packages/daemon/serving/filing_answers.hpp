// Turns what is remembered of a key into the answer to its repeat, and an
// ending into what is to be remembered.
#pragma once

#include "daemon/serving/answers.hpp"
#include "decision/filings/claim_row.hpp"
#include "decision/filings/key_ledger.hpp"
#include "net/http_message.hpp"

namespace waxwingvalve::daemon::serving
{

// The answer to a key that the ledger lets neither run nor wait.
net::http_response to_answer(
    const decision::filings::key_admission<net::http_response>& known);

// The answer to a key whose claim is held by another attempt.
net::http_response to_answer(
    const decision::filings::claim_row& held, std::string_view digest);

decision::filings::run_outcome<net::http_response> to_ending(
    const finished& how);

// Sets the state of a claimed row, and the answer where it fits.
void set_ending(decision::filings::claim_row& row, const finished& how);

} // namespace waxwingvalve::daemon::serving
