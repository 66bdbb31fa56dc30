// An owned file descriptor.
#pragma once

#include <utility>

namespace gaugevalve::tasks {

// Closes its descriptor when it goes out of scope. Movable, not copyable; -1 means "none".
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() { Close(); }

  // Returns the number for system calls; it stays owned by this object.
  int Get() const { return descriptor_; }

  // Closes the descriptor now; does nothing when there is none.
  void Close();

 private:
  int descriptor_ = -1;
};

}  // namespace gaugevalve::tasks
