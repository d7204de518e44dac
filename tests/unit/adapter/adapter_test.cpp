#include "platform/adapter.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace almondtiller::adapter {
namespace {

constexpr auto settings_text = R"(
nodeName = "n1"
zone = "z1"
region = "r1"
ip = "127.0.0.1"
innerPortRange = [7000,7010]
surprise = [1,2]
[listen]
front = "127.0.0.1:7100"
readyAddr = "127.0.0.1:7101"
directory = "127.0.0.1:7102"
[platform]
address = "127.0.0.1:7103"
[bounds]
graceS = 6
retryBudgetRatio = 0.3
)";

auto page_of(const std::string& items) -> object_page
{
    return decode_page(R"({"items":[)" + items +
                       R"(],"morePages":false,"asOf":7})")
        .value();
}

auto upstream_text(const std::string& name, const std::string& body)
    -> std::string
{
    return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":)" +
           body + "}";
}

const auto good_body = std::string(
    R"({"service":"s","address":"127.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":4,"state":"ready","coldLeftMs":1500,"seq":9,"born":17})");

auto with(std::string body, const std::string& from, const std::string& to)
    -> std::string
{
    return body.replace(body.find(from), from.size(), to);
}

auto is_usable_entry(const std::string& body) -> bool
{
    const auto page = page_of(upstream_text("i-1", body));
    return !page.objects.empty() && decode_upstream(page.objects.front());
}

} // namespace

TEST(settings_file, reads_known_keys_and_ignores_others)
{
    const auto outcome = parse_settings(settings_text);
    ASSERT_FALSE(outcome.error) << outcome.detail;
    EXPECT_EQ(outcome.settings.front.port, 7100);
    EXPECT_EQ(outcome.settings.peers.port, 7000);
    EXPECT_EQ(outcome.settings.grace, std::chrono::seconds(6));
    EXPECT_DOUBLE_EQ(outcome.settings.retry_ratio, 0.3);
}

// What a deployment does not ask for stays off.
TEST(settings_file, switches_features_on_by_their_contracts)
{
    const auto plain = parse_settings(settings_text).settings;
    EXPECT_FALSE(plain.has_rollouts);
    EXPECT_FALSE(plain.has_fair_sharing);
    const auto features = parse_settings(
        std::string(R"(contracts = ["base","rollout","pressure",7])") +
        settings_text +
        "exposureShare = 0.1\nexposureSlack = 50\nrollbackMs = 4000\n"
        "[limits]\nmemoryMb = 160\nmaxFds = 4100\n");
    ASSERT_FALSE(features.error) << features.detail;
    EXPECT_TRUE(features.settings.has_rollouts);
    EXPECT_TRUE(features.settings.has_fair_sharing);
    EXPECT_DOUBLE_EQ(features.settings.exposure_share, 0.1);
    EXPECT_DOUBLE_EQ(features.settings.exposure_slack, 50);
    EXPECT_EQ(features.settings.rollback_time, std::chrono::seconds(4));
    EXPECT_EQ(features.settings.memory_bytes, std::uint64_t(160) << 20U);
    EXPECT_EQ(features.settings.max_descriptors, 4100);
}

TEST(settings_file, reports_the_invalid_key)
{
    const auto text = with(settings_text, "127.0.0.1:7100", "somewhere");
    const auto outcome = parse_settings(text);
    EXPECT_EQ(outcome.error, adapter_errc::setting_invalid);
    EXPECT_NE(outcome.detail.find("listen.front"), std::string::npos);
    EXPECT_NE(outcome.detail.find("somewhere"), std::string::npos);
    EXPECT_EQ(parse_settings("nodeName = ").error,
              adapter_errc::settings_unreadable);
    EXPECT_EQ(parse_settings("").error, adapter_errc::setting_missing);
}

TEST(settings_file, rejects_ports_out_of_range)
{
    for (const auto* range : {"[0,10]", "[65535,65535]", "[70000,70010]"}) {
        const auto outcome =
            parse_settings(with(settings_text, "[7000,7010]", range));
        EXPECT_EQ(outcome.error, adapter_errc::setting_invalid) << range;
        EXPECT_NE(outcome.detail.find("innerPortRange"), std::string::npos);
    }
}

TEST(entries, decode_an_upstream)
{
    const auto page = page_of(upstream_text("i-1", good_body));
    const auto entry = decode_upstream(page.objects.front());
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry.value().upstream.id.str(), "i-1");
    EXPECT_EQ(entry.value().upstream.cold_left,
              std::chrono::milliseconds(1500));
    EXPECT_EQ(entry.value().upstream.started_ms, 17);
    EXPECT_EQ(entry.value().beat, 9);
}

TEST(entries, reject_entries_of_another_format)
{
    ASSERT_TRUE(is_usable_entry(good_body));
    EXPECT_FALSE(is_usable_entry(with(good_body, "\"ready\"", "\"resting\"")));
    EXPECT_FALSE(is_usable_entry(with(good_body, "\"slots\":4,", "")));
    EXPECT_FALSE(
        is_usable_entry(with(good_body, "\"slots\":4", "\"slots\":\"4\"")));
    EXPECT_FALSE(is_usable_entry(with(good_body, "127.0.0.1:80", "nowhere")));
    EXPECT_FALSE(is_usable_entry(with(good_body, "17}", "1.5}")));
    EXPECT_FALSE(is_usable_entry("\"torn\""));
}

TEST(entries, keep_valid_entries_of_a_list_with_a_corrupt_one)
{
    const auto corrupt = upstream_text("i-2", "\"\xff\xfe\"");
    const auto page =
        page_of(upstream_text("i-1", good_body) + "," + corrupt + ",17");
    EXPECT_EQ(page.objects.size(), 2U);
    EXPECT_EQ(page.unreadable, 1U);
    EXPECT_TRUE(decode_upstream(page.objects.front()));
}

/// Values that are no valid JSON: half of a surrogate pair, a number that no
/// double holds, bytes that are not UTF-8, and a control character.
const auto unreadable_values = std::vector<std::string>{
    R"("cant-\udcff")", "1e400", "\"\xff\xfe\"", "\"a\nb\""};

// Guards against one entry of another writer that hides all upstreams.
TEST(entries, an_unreadable_value_hides_no_other_entry)
{
    for (const auto& value : unreadable_values) {
        const auto odd = upstream_text("i-1", with(good_body, R"("z")", value));
        const auto good =
            upstream_text("i-2", with(good_body, R"("z")", "\"zé\""));
        const auto page = decode_page(R"({"items":[)" + odd + "," + good +
                                      R"(],"morePages":true,"asOf":7})");
        ASSERT_TRUE(page) << value;
        ASSERT_EQ(page.value().objects.size(), 2U) << value;
        EXPECT_FALSE(decode_upstream(page.value().objects[0])) << value;
        const auto upstream = decode_upstream(page.value().objects[1]);
        ASSERT_TRUE(upstream) << value;
        EXPECT_EQ(upstream.value().upstream.zone.str(), "zé") << value;
        EXPECT_EQ(page.value().next_after, "i-2");
        EXPECT_EQ(page.value().revision.number, 7);
    }
}

// The same for a watch, in which the next change may be the one that matters.
TEST(entries, an_unreadable_value_hides_no_other_change)
{
    for (const auto& value : unreadable_values) {
        const auto odd = upstream_text("i-1", with(good_body, R"("z")", value));
        const auto changes =
            decode_changes(R"({"asOf":9,"events":[{"removed":false,"object":)" +
                           odd + R"(},{"removed":true,"object":)" +
                           upstream_text("i-2", good_body) + "}]}");
        ASSERT_TRUE(changes) << value;
        ASSERT_EQ(changes.value().changes.size(), 2U) << value;
        EXPECT_EQ(changes.value().changes[0].object.name, "i-1");
        EXPECT_FALSE(decode_upstream(changes.value().changes[0].object));
        EXPECT_TRUE(changes.value().changes[1].is_removed);
        EXPECT_EQ(changes.value().revision.number, 9);
    }
}

// A node can replace its own entry only if it can read the revision.
TEST(entries, an_unreadable_value_hides_neither_name_nor_revision)
{
    for (const auto& value : unreadable_values) {
        const auto object = decode_object(
            R"({"metadata":{"note":)" + value +
                R"(,"name":"n1","revision":3},"spec":{"zone":)" + value + "}}",
            2);
        ASSERT_TRUE(object) << value;
        EXPECT_EQ(object.value().name, "n1");
        EXPECT_EQ(object.value().revision, (serving::store_revision{2, 3}));
        EXPECT_FALSE(decode_node(object.value()));
    }
}

// One call carries pieces of several requests.
TEST(stage_calls, an_unreadable_result_hides_no_other_result)
{
    for (const auto& value : unreadable_values) {
        const auto results = decode_stage_results(
            R"({"items":[{"reason":)" + value + R"(},{"handle":"h"}]})", 2);
        ASSERT_TRUE(results) << value;
        EXPECT_EQ(results.value()[0].failure, serving::stage_failure::failed);
        EXPECT_EQ(results.value()[1].handle, "h");
    }
}

// Another writer chooses the names of its entries. Guards against a list that
// ends at a name which makes the call for its next page invalid.
TEST(store_calls, escape_names)
{
    const auto store = core::endpoint{"127.0.0.1", 1};
    const auto list = encode_list(store, object_kind::upstreams, "a b&c/\xff?",
                                  freshness::newest);
    EXPECT_TRUE(list.starts_with(
        "GET /almondtiller/objects/servers?after=a%20b%26c%2F%FF%3F HTTP/1.1"))
        << list;
    const auto removal =
        encode_remove(store, object_kind::nodes, "n-1_x.y~z", {0, 4});
    EXPECT_TRUE(removal.starts_with(
        "DELETE /almondtiller/objects/almondtiller-nodes/n-1_x.y~z?revision=4"))
        << removal;
}

TEST(entries, a_list_without_its_end_is_unreadable)
{
    const auto odd = with(good_body, R"("z")", unreadable_values.front());
    const auto whole = R"({"items":[)" + upstream_text("i-1", odd) +
                       R"(],"morePages":false,"asOf":7})";
    ASSERT_TRUE(decode_page(whole));
    for (auto size = std::size_t(0); size < whole.size(); ++size) {
        EXPECT_FALSE(decode_page(whole.substr(0, size))) << size;
    }
}

// Guards against a process that ends on one entry of another writer: the copy
// of a value that is nested so deeply exhausts the stack.
TEST(entries, drop_values_that_are_nested_too_deeply)
{
    constexpr auto levels = std::size_t(300000);
    for (const auto* begin : {"[", R"(["]\"",)"}) {
        auto nested = std::string();
        for (auto level = std::size_t(0); level < levels; ++level) {
            nested += begin;
        }
        nested += "1" + std::string(levels, ']');
        const auto page =
            page_of(upstream_text("i-1", with(good_body, R"("s")", nested)) +
                    "," + upstream_text("i-2", good_body));
        ASSERT_EQ(page.objects.size(), 2U) << begin;
        EXPECT_FALSE(decode_upstream(page.objects[0])) << begin;
        EXPECT_TRUE(decode_upstream(page.objects[1])) << begin;
    }
}

TEST(entries, decode_a_configuration)
{
    const auto page = page_of(upstream_text(
        "main",
        R"({"version":7,"routes":[{"name":"r","hostname":"h.example",)"
        R"("pathPrefix":"/a/","routeType":"streaming","timeoutMs":600,)"
        R"("targetLatencyMs":130,"priority":1,"maxAttempts":2,)"
        R"("trafficSplit":[{"service":"m","weight":9}],"resumable":true,)"
        R"("stages":[{"service":"s","after":[],"bytes":8000}]}],)"
        R"("services":[{"name":"s","pieces":{"batch":8,"callMs":150.0,)"
        R"("itemMs":16.0,"headroomMb":43.0,"handleS":4.0}}],)"
        R"("tenants":[{"name":"w","apiKeys":["k"],"priority":3},)"
        R"({"name":"x","apiKeys":["l"],"weight":2.5},)"
        R"({"name":"y","apiKeys":["m"],"weight":0}]})"));
    const auto decoded = decode_configuration(page.objects.front());
    ASSERT_TRUE(decoded);
    const auto& config = decoded.value();
    const auto* route = config.find_route("H.example:80", "/a/b?x=/c/");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->timeout, std::chrono::milliseconds(600));
    EXPECT_TRUE(route->is_resumable);
    EXPECT_EQ(config.find_route("h.example", "/b/"), nullptr);
    EXPECT_EQ(config.find_workspace("k")->priority, 3);
    EXPECT_EQ(config.find_workspace("k")->weight, 1);
    EXPECT_EQ(config.find_workspace("l")->weight, 2.5);
    EXPECT_EQ(config.find_workspace("m")->weight, 1);
    EXPECT_EQ(config.find_workspace("other"), nullptr);
    EXPECT_EQ(
        config.find_service(serving::service_name("s"))->stages->room_bytes,
        43000000U);
}

TEST(entries, clamp_numbers_out_of_range)
{
    const auto page = page_of(upstream_text(
        "i-1", with(with(good_body, "\"slots\":4", "\"slots\":1e300"),
                    "\"seq\":9", "\"seq\":1e300")));
    const auto entry = decode_upstream(page.objects.front());
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry.value().upstream.slots, 4294967295U);
    EXPECT_GT(entry.value().beat, 0);
    EXPECT_FALSE(is_usable_entry(with(good_body, "\"seq\":9", "\"seq\":-1")));
}

/// Overwrites random bytes of a valid entry.
RC_GTEST_PROP(entries, decode_corrupt_entries_without_failure,
              (const std::vector<std::pair<std::uint16_t, char>>& changes))
{
    auto body = good_body;
    for (const auto& [place, letter] : changes) {
        body[place % body.size()] = letter;
    }
    const auto page = decode_page(R"({"items":[)" + upstream_text("i-1", body) +
                                  R"(],"morePages":false,"asOf":7})");
    if (!page) {
        return;
    }
    for (const auto& object : page.value().objects) {
        static_cast<void>(decode_configuration(object));
        static_cast<void>(decode_node(object));
        if (const auto entry = decode_upstream(object)) {
            RC_ASSERT(entry.value().upstream.slots >= 1U);
            RC_ASSERT(entry.value().upstream.address.port != 0);
            RC_ASSERT(entry.value().beat >= 0);
        }
    }
}

RC_GTEST_PROP(entries, decode_arbitrary_bytes_without_failure,
              (const std::string& bytes))
{
    static_cast<void>(decode_page(bytes));
    static_cast<void>(decode_changes(bytes));
    static_cast<void>(decode_stage_results(bytes, 1));
    static_cast<void>(parse_settings(bytes));
}

TEST(caller_messages, forward_only_fields_that_callers_may_set)
{
    auto message = http1::request_message();
    message.method = "POST";
    message.target = "/a/b";
    message.headers = {{"Host", "h.example"},
                       {"X-Almondtiller-Request-Id", "r1"},
                       {"X-Almondtiller-Token-Counts", "1460,80"},
                       {"X-Almondtiller-Prompt-Prefix", "5c:800,91: 410"},
                       {"X-Almondtiller-Pieces", "2,0"},
                       {"X-Almondtiller-Tenant", "forged"},
                       {"X-Almondtiller-Hold", "forged"},
                       {"X-Almondtiller-Expect-Instance", "forged"},
                       {"Kv-From", "forged"},
                       {"X-Custom", "kept"},
                       {"Connection", "X-Private"},
                       {"X-Private", "dropped"},
                       {"Authorization", "Bearer secret"}};
    message.body = "body";
    const auto request = decode_request(message);
    ASSERT_TRUE(request);
    EXPECT_EQ(request.value().api_key, "secret");
    EXPECT_EQ(request.value().prompt.size(), 2U);
    EXPECT_EQ(request.value().pieces, (std::vector<std::uint32_t>{2, 0}));
    auto send = serving::upstream_send();
    send.expected = core::upstream_id("i-1");
    send.time_left = std::chrono::milliseconds(900);
    send.workspace = core::workspace_name("w");
    send.inputs = {"127.0.0.1:80/1", "127.0.0.1:80/2"};
    const auto text = encode_request(request.value(), send);
    EXPECT_EQ(text.find("forged"), std::string::npos);
    EXPECT_EQ(text.find("secret"), std::string::npos);
    EXPECT_EQ(text.find("dropped"), std::string::npos);
    EXPECT_NE(text.find("X-Custom: kept\r\n"), std::string::npos);
    EXPECT_NE(text.find("X-Almondtiller-Tenant: w\r\n"), std::string::npos);
    EXPECT_NE(text.find("X-Almondtiller-Deadline-Ms: 900\r\n"),
              std::string::npos);
    EXPECT_NE(text.find("Inputs: 127.0.0.1:80/1,127.0.0.1:80/2\r\n"),
              std::string::npos);
    EXPECT_TRUE(text.ends_with("\r\n\r\nbody"));
}

TEST(caller_messages, clamp_numbers_out_of_range)
{
    auto message = http1::request_message();
    message.headers = {{"X-Almondtiller-Request-Id", "r1"},
                       {"X-Almondtiller-Deadline-Ms", "99999999999999"}};
    const auto request = decode_request(message);
    ASSERT_TRUE(request);
    EXPECT_GT(request.value().deadline, std::chrono::hours(1));
}

TEST(caller_messages, require_a_request_id)
{
    EXPECT_EQ(decode_request({}).error(), adapter_errc::request_without_id);
}

TEST(caller_messages, decode_a_directory_query)
{
    auto message = http1::request_message();
    message.method = "GET";
    message.target = "/almondtiller/resolve?name=h.example&region=r&zone=z1";
    const auto question = decode_directory_question(message);
    ASSERT_TRUE(question);
    EXPECT_EQ(question->zone.str(), "z1");
    message.target = "/other";
    EXPECT_FALSE(decode_directory_question(message));
}

TEST(upstream_messages, report_whether_a_request_was_run)
{
    auto head = http1::response_head();
    head.status = 503;
    EXPECT_FALSE(decode_verdict(head).not_run);
    head.headers.add("X-Almondtiller-Not-Run", "1");
    EXPECT_TRUE(decode_verdict(head).not_run);
    auto misdirected = http1::response_head();
    misdirected.status = 421;
    EXPECT_TRUE(decode_verdict(misdirected).not_run);
}

TEST(upstream_verdicts, report_leaving_and_retry_delay)
{
    const auto read = [](int status, const std::string& name,
                         const std::string& value) {
        auto head = http1::response_head();
        head.status = status;
        head.headers.add(name, value);
        return decode_verdict(head);
    };
    EXPECT_TRUE(read(200, "Server-Leaving", "1").is_leaving);
    EXPECT_TRUE(read(503, "server-leaving", "1").is_leaving);
    EXPECT_FALSE(read(200, "Server-Leaving", "0").is_leaving);
    EXPECT_FALSE(read(421, "Server-Leaving", "1").is_leaving);
    const auto delay = [&read](const std::string& value, int status = 503) {
        return read(status, "Retry-After", value).hold_off.count();
    };
    EXPECT_EQ(delay("2"), 2000);
    EXPECT_EQ(delay("0.75"), 750);
    EXPECT_EQ(delay("0.0004"), 1);
    EXPECT_EQ(delay("3600"), 60000);
    EXPECT_EQ(delay("2", 200), 0);
    for (const auto* text : {"", "-1", "soon", "1e3", "1.2.3", "inf", " 2",
                             "Fri, 04 Dec 2026 09:00:00 GMT"}) {
        EXPECT_EQ(delay(text), 0) << text;
    }
}

TEST(upstream_verdicts, report_the_request_limit)
{
    const auto read = [](int status, const std::string& value) {
        auto head = http1::response_head();
        head.status = status;
        head.headers.add("Server-Limit", value);
        return decode_verdict(head);
    };
    EXPECT_EQ(read(200, "1.3").request_limit, 1.3);
    EXPECT_EQ(read(503, "1").request_limit, 1.0);
    EXPECT_EQ(read(200, "0").request_limit, 0.0);
    for (const auto* text : {"", "-1", "many", "1e3", "1.2.3", "inf", " 2"}) {
        EXPECT_EQ(read(200, text).request_limit, std::nullopt) << text;
    }
    EXPECT_TRUE(read(200, "1").is_genuine);
    EXPECT_EQ(read(421, "1").request_limit, std::nullopt);
    EXPECT_FALSE(read(421, "1").is_genuine);
}

TEST(upstream_verdicts, report_the_load)
{
    const auto read = [](int status, const std::string& value) {
        auto head = http1::response_head();
        head.status = status;
        head.headers.add("X-Almondtiller-Engine-Load", value);
        return decode_verdict(head).load;
    };
    const auto load = serving::engine_load{3, 1, 16, 250.0};
    EXPECT_EQ(read(200, "3,1,16,250"), load);
    EXPECT_EQ(read(503, " 3 , 1,16\t, 250 "), load);
    EXPECT_EQ(read(200, "3,1,16"),
              (serving::engine_load{3, 1, 16, std::nullopt}));
    // A response of another instance says nothing about the upstream.
    EXPECT_EQ(read(421, "3,1,16,250"), serving::engine_load());
    EXPECT_EQ(read(200, ""), serving::engine_load());
}

// Guards against one bad figure that hides the others or is taken as stated.
TEST(upstream_verdicts, ignore_implausible_load_figures_one_by_one)
{
    const auto none = std::nullopt;
    EXPECT_EQ(decode_load("3,1,16,250,9,x"),
              (serving::engine_load{3, 1, 16, 250.0}));
    EXPECT_EQ(decode_load("-3,1,16,250"),
              (serving::engine_load{none, 1, 16, 250.0}));
    EXPECT_EQ(decode_load("3,many,,250"),
              (serving::engine_load{3, none, none, 250.0}));
    EXPECT_EQ(decode_load("4000000000,1.5,0,250"),
              (serving::engine_load{none, none, none, 250.0}));
    for (const auto* text :
         {"-250", "1e9", "1000000000", "4294967297", "0", "9", "2001", "slow",
          "nan", "inf", "0x64", "2 5", ""}) {
        EXPECT_EQ(decode_load("3,1,16," + std::string(text)),
                  (serving::engine_load{3, 1, 16, none}))
            << text;
    }
}

RC_GTEST_PROP(upstream_verdicts, bound_the_load_of_any_text,
              (const std::string& text))
{
    const auto load = decode_load(text);
    RC_ASSERT(load.running.value_or(0) <= 100000U);
    RC_ASSERT(load.waiting.value_or(0) <= 100000U);
    RC_ASSERT(load.slots.value_or(1) >= 1U);
    const auto slowdown = load.slowdown_percent.value_or(100.0);
    RC_ASSERT(slowdown >= 10.0 && slowdown <= 2000.0);
}

TEST(stage_calls, decode_one_result_per_item)
{
    const auto results = decode_stage_results(
        R"({"items":[{"handle":"127.0.0.1:80/a"},{"reason":"gone"},)"
        R"({"reason":"room"},{}]})",
        4);
    ASSERT_TRUE(results);
    EXPECT_EQ(results.value()[0].handle, "127.0.0.1:80/a");
    EXPECT_EQ(results.value()[1].failure, serving::stage_failure::input_lost);
    EXPECT_EQ(results.value()[2].failure, serving::stage_failure::no_room);
    EXPECT_EQ(results.value()[3].failure, serving::stage_failure::failed);
    EXPECT_FALSE(decode_stage_results(R"({"items":[]})", 1));
    EXPECT_EQ(result_holder("127.0.0.1:80/a")->port, 80);
}

} // namespace almondtiller::adapter
