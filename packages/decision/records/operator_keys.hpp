// Who may sign: the operators' secrets, and the message authentication codes
// made with them.
//
// The keys are symmetric: whoever can check a code can also make one. They
// tell the operators' acts from rows that anybody else wrote or changed, not
// one holder of the keys file from another.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "decision/records/accepted_change.hpp"
#include "decision/records/proposal.hpp"

namespace waxwingvalve::decision::records
{

// Invariant: each secret has at least 16 bytes.
struct operator_keys
{
    std::map<std::string, std::string, std::less<>> secrets{};
};

// Reads {"selam": "00ff...", ...}: a secret in hexadecimal for each operator.
// Errors: settings_malformed, settings_invalid; never names a secret.
base::result<operator_keys> parse_operator_keys(std::string_view json);

// HMAC-SHA-256 in hexadecimal over what `done` did to `subject`. Errors:
// operator_unknown.
base::result<std::string> sign(
    const operator_keys& keys, const proposal& subject, const step& done);

// Every step must be signed by who is named in it. Errors: operator_unknown,
// signature_invalid.
base::result<void> verify(const operator_keys& keys, const proposal& subject);

// The same for an accepted change, which must also show a proposal, a review
// by another operator and an accept for its very revision.
base::result<void> verify(
    const operator_keys& keys, const accepted_change& change);

} // namespace waxwingvalve::decision::records
