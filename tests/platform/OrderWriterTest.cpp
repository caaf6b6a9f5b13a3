#include "platform/OrderWriter.h"

#include "groups/MemberAddress.h"

#include <CppUTest/TestHarness.h>

using namespace lycheereach;
using namespace lycheereach::platform;

TEST_GROUP(OrderWriter)
{
    EngineOrder order_;

    auto setup()->void override
    {
        order_.upstream_ = UpstreamId("i-1");
        order_.group_ = GroupId("g");
        order_.epoch_ = 4;
        order_.model_ = "large";
        order_.members_.push_back(MemberAddress{UpstreamId("i-1"), "10.0.0.1:80"});
        order_.members_.push_back(MemberAddress{UpstreamId("i-2"), "10.0.0.2:80"});
    }

    auto orderBodyOf(OrderKind kind)->Json
    {
        order_.kind_ = kind;
        return Json::parse(writeOrder(order_).body_.text());
    }
};

TEST(OrderWriter, joinOrder_write_listsMembersByRank)
{
    CHECK(orderBodyOf(OrderKind::Join)
          == Json::parse(R"({"operation": "join", "group": "g", "epoch": 4, "model": "large",
                             "members": ["i-1", "i-2"]})"));
    CHECK(writeOrder(order_).headers_.value("X-Expect-Instance") == "i-1");
}

TEST(OrderWriter, openLeaveAndCloseOrders_write_containGroupAndEpoch)
{
    CHECK(orderBodyOf(OrderKind::Open)
          == Json::parse(R"({"operation": "open", "group": "g", "epoch": 4})"));
    CHECK(orderBodyOf(OrderKind::Leave)
          == Json::parse(R"({"operation": "leave", "group": "g", "epoch": 4})"));
    CHECK(
        orderBodyOf(OrderKind::Close)
        == Json::parse(R"({"operation": "close", "group": "g", "epoch": 4, "closeMode": "wait"})"));
}

TEST(OrderWriter, loadOrder_write_containsOnlyModel)
{
    CHECK(orderBodyOf(OrderKind::Load)
          == Json::parse(R"({"operation": "stage", "model": "large"})"));
}
