#include "schema/json_reader.hpp"

#include <flatbuffers/idl.h>

namespace waxwingvalve::schema
{

base::result<std::vector<std::uint8_t>> read_json(
    const json_schema& schema, std::string_view text)
{
    BOOST_OUTCOME_TRY(check_json(schema, text));
    flatbuffers::IDLOptions options;
    options.strict_json = true;
    flatbuffers::Parser parser{options};
    if (!parser.Deserialize(schema.compiled.data(), schema.compiled.size()))
    {
        return base::fail(base::result_code::internal, "schema unreadable");
    }
    const std::string root{schema.root_table};
    if (!parser.SetRootType(root.c_str()))
    {
        return base::fail(base::result_code::internal, root);
    }
    const std::string copy{text};
    if (!parser.ParseJson(copy.c_str()))
    {
        return base::fail(base::result_code::settings_malformed, parser.error_);
    }
    const auto* data = parser.builder_.GetBufferPointer();
    return std::vector<std::uint8_t>{data, data + parser.builder_.GetSize()};
}

} // namespace waxwingvalve::schema
