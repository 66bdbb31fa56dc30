// main() of a fuzz target built without libFuzzer: feeds every file of the given directories to the
// target once. Exits 2 when a directory holds no file, so an empty corpus can't pass for a run.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

std::vector<std::uint8_t> ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kNothingRun = 2;
  std::size_t inputs = 0;
  for (int index = 1; index < argc; ++index) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(argv[index])) {
      if (!entry.is_regular_file()) {
        continue;
      }
      const std::vector<std::uint8_t> input = ReadFile(entry.path());
      LLVMFuzzerTestOneInput(input.data(), input.size());
      ++inputs;
    }
  }
  std::cout << "corpus inputs replayed: " << inputs << "\n";
  return inputs > 0 ? EXIT_SUCCESS : kNothingRun;
}
