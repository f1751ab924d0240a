// Secrets of the operators and the message authentication codes made with them.
//
// The keys are symmetric: whoever can verify a code can also create one. The
// codes protect against rows written or changed without the keys file. They
// cannot tell apart the holders of that file.
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

// Secrets by operator name. Invariant: each has at least 16 bytes.
struct operator_keys
{
    std::map<std::string, std::string, std::less<>> secrets{};
};

// Parses {"selam": "00ff...", ...}: a secret in hexadecimal for each operator.
// Errors: settings_malformed, settings_invalid. The error text never contains a
// secret.
base::result<operator_keys> parse_operator_keys(std::string_view json);

// Returns the HMAC-SHA-256, in hexadecimal, of the step `signed_step` on
// `subject`. Errors: operator_unknown.
base::result<std::string> sign(
    const operator_keys& keys,
    const proposal& subject,
    const step& signed_step);

// Checks that each step is signed by the operator it names and that the author
// signed the proposal. Errors: operator_unknown, signature_invalid.
base::result<void> verify(const operator_keys& keys, const proposal& subject);

// Does the same for an accepted change, which must also have a review by an
// operator other than the author and an accept step signed for its revision.
base::result<void> verify(
    const operator_keys& keys, const accepted_change& change);

} // namespace waxwingvalve::decision::records
