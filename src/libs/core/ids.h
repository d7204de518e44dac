#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace almondtiller::core {

/// A string identifier whose type prevents confusion with other kinds of ids.
template <typename Tag>
class typed_id
{
public:
    typed_id() = default;
    explicit typed_id(std::string text) : value(std::move(text))
    {}

    [[nodiscard]] auto str() const -> const std::string&
    {
        return this->value;
    }
    [[nodiscard]] auto empty() const -> bool
    {
        return this->value.empty();
    }

    auto operator==(const typed_id&) const -> bool = default;
    auto operator<=>(const typed_id&) const = default;

private:
    std::string value;
};

using node_id = typed_id<struct node_tag>;
using upstream_id = typed_id<struct upstream_tag>;
using zone_name = typed_id<struct zone_tag>;
using region_name = typed_id<struct region_tag>;
using pool_name = typed_id<struct pool_tag>;
using pipeline_name = typed_id<struct pipeline_tag>;
using workspace_name = typed_id<struct workspace_tag>;
using stage_name = typed_id<struct stage_tag>;
using request_id = typed_id<struct request_tag>;
using attempt_id = typed_id<struct attempt_tag>;

} // namespace almondtiller::core

template <typename Tag>
struct std::hash<almondtiller::core::typed_id<Tag>>
{
    auto operator()(const almondtiller::core::typed_id<Tag>& id) const noexcept
        -> std::size_t
    {
        return std::hash<std::string>()(id.str());
    }
};
