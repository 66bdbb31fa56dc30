/// @file
/// Notices that a file has been replaced or written.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>

#include "gaugevalve/base/time.h"
#include "gaugevalve/tasks/timer.h"

namespace gaugevalve::tasks {

/// Looks at a file from time to time, which works on every file system and needs no descriptor. Two
/// changes between two looks are one. Runs in the loop's thread.
class FileWatch {
 public:
  /// @param path  may not exist yet; a file that vanishes is no change
  /// @param on_change  called once for each change seen since the object was made
  FileWatch(event_base* loop, std::string path, base::Duration period,
            std::function<void()> on_change);

 private:
  struct Version {
    std::uint64_t inode = 0;
    std::int64_t size = 0;
    std::int64_t seconds = 0;
    std::int64_t nanoseconds = 0;

    friend bool operator==(const Version&, const Version&) = default;
  };

  Version Look() const;
  void OnTimer();

  std::string m_path;
  std::function<void()> m_on_change;
  Version m_seen;
  Timer m_timer;
};

}  // namespace gaugevalve::tasks
