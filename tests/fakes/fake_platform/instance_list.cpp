#include "instance_list.h"

namespace almondtiller::fake_platform {

instance_list::instance_list(core::milliseconds lag) : lag(lag)
{}

auto instance_list::replace(const std::string& text, core::time_point now)
    -> void
{
    this->entries.push_back({now + this->lag, text});
}

auto instance_list::visible(core::time_point now) const -> std::string
{
    auto text = std::string(R"({"instances":[]})");
    for (const auto& one : this->entries) {
        if (one.visible_from <= now) {
            text = one.text;
        }
    }
    return text;
}

} // namespace almondtiller::fake_platform
