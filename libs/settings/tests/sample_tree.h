// The tree that several tests start from.
#pragma once

#include "gaugevalve/settings/settings_tree.h"

namespace gaugevalve::settings {

inline constexpr const char* kSampleTree = R"(version: 1
slots: 7
services:
  orders:
    kind: http3
    virtual_address: 192.0.2.10:443
    regions:
      north:
        zones:
          east:
            endpoints: {orders-1: {weight: 10}, orders-2: {}}
          west:
            endpoints: {orders-3: {}}
  files:
    kind: datagram
    virtual_address: 192.0.2.11:443
    bucket_count: 64
)";

inline SettingsTree SampleTree() { return ParseTree(kSampleTree, "sample"); }

}  // namespace gaugevalve::settings
