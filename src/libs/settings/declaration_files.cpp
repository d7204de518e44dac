#include "settings/declaration_files.h"

#include "settings/settings_errc.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <unordered_set>

namespace almondtiller::settings {

namespace {

using nlohmann::json;

auto list_files(const std::filesystem::path& path)
    -> std::vector<std::filesystem::path>
{
    auto error = std::error_code();
    if (!std::filesystem::is_directory(path, error)) {
        return {path};
    }
    auto files = std::vector<std::filesystem::path>();
    auto walk = std::filesystem::recursive_directory_iterator(path, error);
    for (const auto& entry : walk) {
        if (entry.is_regular_file() && entry.path().extension() == ".json") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

/// Collects keys that occur more than once in an object. The callback of
/// json::parse is not used for this, because the parser then searches the
/// parent at the end of each object.
class duplicate_key_finder : public nlohmann::json_sax<json>
{
public:
    auto null() -> bool override
    {
        return true;
    }
    auto boolean(bool /*value*/) -> bool override
    {
        return true;
    }
    auto number_integer(number_integer_t /*value*/) -> bool override
    {
        return true;
    }
    auto number_unsigned(number_unsigned_t /*value*/) -> bool override
    {
        return true;
    }
    auto number_float(number_float_t /*value*/, const string_t& /*text*/)
        -> bool override
    {
        return true;
    }
    auto string(string_t& /*value*/) -> bool override
    {
        return true;
    }
    auto binary(binary_t& /*value*/) -> bool override
    {
        return true;
    }
    auto start_object(std::size_t /*size*/) -> bool override
    {
        this->keys.emplace_back();
        return true;
    }
    auto key(string_t& key) -> bool override
    {
        if (!this->keys.back().insert(key).second) {
            this->duplicates.push_back(key);
        }
        return true;
    }
    auto end_object() -> bool override
    {
        this->keys.pop_back();
        return true;
    }
    auto start_array(std::size_t /*size*/) -> bool override
    {
        return true;
    }
    auto end_array() -> bool override
    {
        return true;
    }
    auto parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/)
        -> bool override
    {
        return false;
    }

    std::vector<std::string> duplicates;

private:
    std::vector<std::unordered_set<std::string>> keys;
};

/// Merges the documents of several files and records which file contains each
/// declaration.
class tree_merger
{
public:
    explicit tree_merger(std::filesystem::path base) : base(std::move(base))
    {}

    auto add_file(const std::filesystem::path& path) -> void
    {
        auto file = path.lexically_relative(this->base).string();
        if (file.empty() || file == ".") {
            file = path.filename().string();
        }
        auto stream = std::ifstream(path);
        if (!stream) {
            this->report(settings_errc::malformed_json, file, "",
                         "no readable file", "a JSON file");
            return;
        }
        const auto text = std::string(std::istreambuf_iterator<char>(stream),
                                      std::istreambuf_iterator<char>());
        this->add_text(file, text);
    }

    auto finish() -> loaded_tree
    {
        return {declaration_tree(this->merged), std::move(this->files),
                std::move(this->findings)};
    }

private:
    auto add_text(const std::string& file, const std::string& text) -> void
    {
        auto document = json();
        try {
            document = json::parse(text);
        } catch (const json::parse_error& error) {
            this->report(settings_errc::malformed_json, file, "",
                         "a syntax error at byte " + std::to_string(error.byte),
                         "JSON");
            return;
        }
        auto finder = duplicate_key_finder();
        static_cast<void>(json::sax_parse(text, &finder));
        for (const auto& key : finder.duplicates) {
            this->report(settings_errc::duplicate_declaration, file, key,
                         "two members of that name in one object", "one");
        }
        if (!document.is_object()) {
            this->report(settings_errc::malformed_json, file, "",
                         document.type_name(), "a JSON object");
            return;
        }
        for (const auto& [section, members] : document.items()) {
            this->add_section(file, section, members);
        }
    }

    auto add_section(const std::string& file, const std::string& section,
                     const json& members) -> void
    {
        if (!members.is_object()) {
            this->report(settings_errc::wrong_type, file, section,
                         members.dump(), "an object");
            return;
        }
        this->files.emplace(section, file);
        auto& target = this->merged[section];
        if (target.is_null()) {
            target = json::object();
        }
        for (const auto& [name, value] : members.items()) {
            auto path = section;
            path.append("/").append(name);
            const auto [known, is_new] = this->files.emplace(path, file);
            if (!is_new) {
                this->report(settings_errc::duplicate_declaration, file, path,
                             "declared in " + known->second + " already",
                             "one declaration");
                continue;
            }
            target[name] = value;
        }
    }

    auto report(settings_errc code, std::string file, std::string path,
                std::string found, std::string allowed) -> void
    {
        this->findings.push_back({make_error_code(code), std::move(file),
                                  std::move(path), std::move(found),
                                  std::move(allowed)});
    }

    std::filesystem::path base;
    json merged = json::object();
    file_index files;
    std::vector<finding> findings;
};

} // namespace

auto load_tree(const std::filesystem::path& path) -> loaded_tree
{
    auto error = std::error_code();
    const auto is_directory = std::filesystem::is_directory(path, error);
    auto merger = tree_merger(is_directory ? path : path.parent_path());
    for (const auto& file : list_files(path)) {
        merger.add_file(file);
    }
    return merger.finish();
}

auto file_of(const file_index& files, const std::string& path) -> std::string
{
    auto prefix = path;
    while (true) {
        if (const auto found = files.find(prefix); found != files.end()) {
            return found->second;
        }
        const auto slash = prefix.rfind('/');
        if (slash == std::string::npos) {
            return {};
        }
        prefix.resize(slash);
    }
}

} // namespace almondtiller::settings
