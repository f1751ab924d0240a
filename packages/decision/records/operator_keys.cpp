#include "decision/records/operator_keys.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include <boost/algorithm/hex.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace waxwingvalve::decision::records
{
namespace
{

namespace json = boost::json;
using base::fail;
using base::result;
using base::result_code;

constexpr std::size_t min_secret_bytes = 16;

// Returns the text that is signed. Each field is preceded by its length, so
// that different steps never have the same content.
std::string signed_content(const proposal& subject, const step& signed_step)
{
    const auto revision = signed_step.action == "accept"
                              ? std::to_string(subject.accepted_as)
                              : "";
    const std::array<std::string_view, 7> fields{
        signed_step.action,
        signed_step.by,
        signed_step.operation_id,
        subject.id,
        subject.record_key,
        revision,
        subject.record_json};
    std::string content;
    for (const auto field : fields)
    {
        content += fmt::format("{}:{};", field.size(), field);
    }
    return content;
}

std::string hmac_sha256(std::string_view secret, const std::string& content)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int size = 0;
    HMAC(
        EVP_sha256(),
        secret.data(),
        static_cast<int>(secret.size()),
        reinterpret_cast<const unsigned char*>(content.data()),
        content.size(),
        code.data(),
        &size);
    std::string hex;
    boost::algorithm::hex_lower(
        code.begin(), code.begin() + size, std::back_inserter(hex));
    return hex;
}

// Compares in constant time.
bool codes_equal(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool has_step(
    const std::vector<step>& steps,
    std::string_view action,
    std::string_view by)
{
    return std::ranges::any_of(
        steps,
        [&](const step& taken)
        { return taken.action == action && taken.by == by; });
}

} // namespace

result<operator_keys> parse_operator_keys(std::string_view text)
{
    boost::system::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure || !parsed.is_object())
    {
        return fail(
            result_code::settings_malformed,
            "keys file: expected a JSON object of operators and secrets");
    }
    operator_keys keys;
    for (const auto& [name, value] : parsed.get_object())
    {
        std::string secret;
        try
        {
            const auto* digits = value.if_string();
            boost::algorithm::unhex(
                digits != nullptr ? std::string{*digits} : "",
                std::back_inserter(secret));
        }
        catch (const boost::algorithm::hex_decode_error&)
        {
            secret.clear();
        }
        if (secret.size() < min_secret_bytes)
        {
            return fail(
                result_code::settings_invalid,
                fmt::format(
                    "keys file: {}: expected {} bytes or more in hexadecimal",
                    std::string_view{name},
                    min_secret_bytes));
        }
        keys.secrets.emplace(name, std::move(secret));
    }
    return keys;
}

result<std::string> sign(
    const operator_keys& keys, const proposal& subject, const step& signed_step)
{
    const auto found = keys.secrets.find(signed_step.by);
    if (found == keys.secrets.end())
    {
        return fail(result_code::operator_unknown, signed_step.by);
    }
    return hmac_sha256(found->second, signed_content(subject, signed_step));
}

result<void> verify(const operator_keys& keys, const proposal& subject)
{
    for (const auto& signed_step : subject.steps)
    {
        BOOST_OUTCOME_TRY(
            const auto expected, sign(keys, subject, signed_step));
        if (!codes_equal(expected, signed_step.signature))
        {
            return fail(
                result_code::signature_invalid,
                fmt::format(
                    "{}: {} by {}",
                    subject.id,
                    signed_step.action,
                    signed_step.by));
        }
    }
    if (!has_step(subject.steps, "propose", subject.author))
    {
        return fail(
            result_code::signature_invalid,
            subject.id + ": no propose step signed by the author");
    }
    return base::success();
}

result<void> verify(const operator_keys& keys, const accepted_change& change)
{
    const proposal subject{
        .id = change.proposal_id,
        .author = change.author,
        .record_key = change.key,
        .accepted_as = change.revision,
        .record_json = change.record_json,
        .steps = change.steps};
    BOOST_OUTCOME_TRY(verify(keys, subject));
    if (change.author == change.reviewer ||
        !has_step(change.steps, "review", change.reviewer) ||
        !has_step(change.steps, "accept", change.closed_by))
    {
        return fail(
            result_code::signature_invalid,
            change.proposal_id +
                ": expected a review by another operator and an accept step");
    }
    return base::success();
}

} // namespace waxwingvalve::decision::records
