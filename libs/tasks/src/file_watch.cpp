#include "gaugevalve/tasks/file_watch.h"

#include <sys/stat.h>

#include <utility>

namespace gaugevalve::tasks {

FileWatch::FileWatch(event_base* loop, std::string path, base::Duration period,
                     std::function<void()> on_change)
    : m_path(std::move(path)),
      m_on_change(std::move(on_change)),
      m_seen(Look()),
      m_timer(loop, [this] { OnTimer(); }) {
  m_timer.StartPeriodic(period);
}

FileWatch::Version FileWatch::Look() const {
  struct stat status {};
  if (stat(m_path.c_str(), &status) != 0) {
    return {};
  }
  return {status.st_ino, status.st_size, status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

void FileWatch::OnTimer() {
  const Version now = Look();
  if (now == Version() || now == m_seen) {
    return;
  }
  m_seen = now;
  m_on_change();
}

}  // namespace gaugevalve::tasks
