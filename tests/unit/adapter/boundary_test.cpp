#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace almondtiller::adapter {
namespace {

namespace fs = std::filesystem;

auto sources_below(const fs::path& directory) -> std::vector<fs::path>
{
    auto found = std::vector<fs::path>();
    for (const auto& entry : fs::recursive_directory_iterator(directory)) {
        const auto extension = entry.path().extension();
        if (extension == ".cpp" || extension == ".h") {
            found.push_back(entry.path());
        }
    }
    return found;
}

auto text_of(const fs::path& path) -> std::string
{
    auto input = std::ifstream(path);
    auto text = std::ostringstream();
    text << input.rdbuf();
    return text.str();
}

auto string_literals(const std::string& text) -> std::set<std::string>
{
    auto literals = std::set<std::string>();
    auto start = text.find('"');
    while (start != std::string::npos) {
        const auto end = text.find_first_of("\"\n", start + 1);
        if (end == std::string::npos) {
            break;
        }
        if (text[end] == '"') {
            literals.insert(text.substr(start + 1, end - start - 1));
        }
        start = text.find('"', end + 1);
    }
    return literals;
}

/// Mixed-case names and paths count as the platform's. Plain words like "name"
/// may appear anywhere.
auto is_platform_name(const std::string& literal) -> bool
{
    const auto is_word =
        std::all_of(literal.begin(), literal.end(), [](unsigned char letter) {
            return std::isalpha(letter) != 0 || letter == '-' ||
                   letter == '/' || letter == '_';
        });
    const auto has_inner_capital =
        !literal.empty() && std::any_of(literal.begin() + 1, literal.end(),
                                        [](unsigned char letter) {
                                            return std::isupper(letter) != 0;
                                        });
    const auto names_product = literal.find("lmondtiller") != std::string::npos;
    const auto is_method = literal == "GET" || literal == "PUT" ||
                           literal == "POST" || literal == "DELETE" ||
                           literal == "HEAD";
    const auto is_standard = literal == "Content-Type" ||
                             literal == "Retry-After" ||
                             literal == "Last-Event-Id";
    return is_word && (has_inner_capital || names_product) && !is_method &&
           !is_standard && literal.find(".h") == std::string::npos;
}

TEST(boundary, platform_names_appear_only_in_the_adapter)
{
    const auto* source = std::getenv("ALMONDTILLER_SOURCE");
    ASSERT_NE(source, nullptr) << "set by ctest";
    const auto root = fs::path(source);
    auto names = std::set<std::string>();
    for (const auto& path : sources_below(root / "platform")) {
        for (const auto& literal : string_literals(text_of(path))) {
            if (is_platform_name(literal)) {
                names.insert(literal);
            }
        }
    }
    ASSERT_GT(names.size(), 40U) << "header, path and field names";
    ASSERT_TRUE(names.contains("X-Almondtiller-Request-Id"));
    ASSERT_TRUE(names.contains("coldLeftMs"));
    for (const auto& path : sources_below(root / "src")) {
        for (const auto& literal : string_literals(text_of(path))) {
            EXPECT_FALSE(names.contains(literal)) << literal << " in " << path;
            EXPECT_EQ(literal.find("X-Almondtiller"), std::string::npos)
                << literal << " in " << path;
        }
    }
}

} // namespace
} // namespace almondtiller::adapter
