#include "gaugevalve/tasks/file_descriptor.h"

#include <unistd.h>

namespace gaugevalve::tasks {

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this != &other) {
    Close();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void FileDescriptor::Close() {
  if (descriptor_ >= 0) {
    close(descriptor_);
    descriptor_ = -1;
  }
}

}  // namespace gaugevalve::tasks
