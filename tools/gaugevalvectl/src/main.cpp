// gaugevalvectl: the operators' command line.

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>

#include "absl/flags/flag.h"
#include "absl/time/time.h"
#include "command_table.h"
#include "etcd_settings_store.h"
#include "gaugevalve/base/finding.h"
#include "gaugevalve/command_line/parse.h"

ABSL_FLAG(std::vector<std::string>, store, {},
          "Addresses of the store's etcd v3 JSON gateways, as IP:port with commas between.");
ABSL_FLAG(std::vector<std::string>, node, {},
          "Admin addresses of the nodes that status and explain ask, as IP:port with commas "
          "between.");
ABSL_FLAG(std::string, output, "text", "Form of the output: text or json.");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(30),
          "Time for an edit with all its attempts, or for a node to answer, with its unit: 500ms, "
          "30s, 2m.");
ABSL_FLAG(std::string, author, "", "Name recorded with an edit; by default the USER variable.");
ABSL_FLAG(std::string, comment, "", "Why the edit is made; recorded with it.");
ABSL_FLAG(bool, dry_run, false, "Check an edit and show what it would change, and stop there.");
ABSL_FLAG(bool, effective, false, "tree get: show values in force and where each comes from.");
ABSL_FLAG(std::size_t, limit, 20, "tree history: how many edits to show, at most 100.");

namespace {

using namespace gaugevalve;  // NOLINT(google-build-using-namespace): a program's only file

std::vector<base::SocketAddress> ReadAddresses(const char* flag,
                                               const std::vector<std::string>& texts,
                                               base::Findings& findings) {
  std::vector<base::SocketAddress> addresses;
  for (const std::string& text : texts) {
    const std::optional<base::SocketAddress> address = base::SocketAddress::Parse(text);
    if (address) {
      addresses.push_back(*address);
    } else {
      findings.push_back({{flag, 0, 0, ""}, "'" + text + "' is not an IP address and port"});
    }
  }
  return addresses;
}

std::string DefaultAuthor() {
  const char* const user = std::getenv("USER");
  return user == nullptr ? "unknown" : user;
}

// Returns the options in the flags; throws base::FindingsError.
ctl::Options ReadOptions() {
  base::Findings findings;
  ctl::Options options;
  options.store_endpoints = ReadAddresses("--store", absl::GetFlag(FLAGS_store), findings);
  options.nodes = ReadAddresses("--node", absl::GetFlag(FLAGS_node), findings);
  options.timeout = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_timeout));
  options.author = absl::GetFlag(FLAGS_author);
  options.comment = absl::GetFlag(FLAGS_comment);
  options.dry_run = absl::GetFlag(FLAGS_dry_run);
  options.effective = absl::GetFlag(FLAGS_effective);
  options.limit = absl::GetFlag(FLAGS_limit);
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output == "json") {
    options.format = ctl::OutputFormat::kJson;
  } else if (output != "text") {
    findings.push_back({{"--output", 0, 0, ""}, "'" + output + "' is neither text nor json"});
  }
  if (options.timeout <= base::Duration(0)) {
    findings.push_back({{"--timeout", 0, 0, ""}, "must be above 0"});
  }
  if (options.author.empty()) {
    options.author = DefaultAuthor();
  }
  if (!findings.empty()) {
    throw base::FindingsError(std::move(findings));
  }
  return options;
}

// Stands in for a store where none was named; commands that need one are refused before they ask.
class NoStore final : public ctl::SettingsStore {
 public:
  ctl::ReadReply Read(const std::vector<ctl::KeyRange>& /*ranges*/,
                      base::Duration /*timeout*/) override {
    return {ctl::StoreOutcome::kNotApplied, "no store was named; nothing was changed", {}};
  }
  ctl::RunReply Run(const settings::StoreTransaction& /*transaction*/,
                    base::Duration /*timeout*/) override {
    return {ctl::StoreOutcome::kNotApplied, "no store was named; nothing was changed", {}};
  }
};

std::unique_ptr<ctl::SettingsStore> MakeStore(const ctl::Options& options) {
  if (options.store_endpoints.empty()) {
    return std::make_unique<NoStore>();
  }
  return std::make_unique<ctl::EtcdSettingsStore>(options.store_endpoints, std::random_device()());
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words = command_line::Parse(argc, argv, ctl::UsageText());
  try {
    const ctl::Options options = ReadOptions();
    const std::unique_ptr<ctl::SettingsStore> store = MakeStore(options);
    const ctl::CommandContext context{options, *store, std::cout, std::cerr};
    return static_cast<int>(ctl::RunCommand(context, words));
  } catch (const base::FindingsError& error) {
    std::cerr << error.what();
    return static_cast<int>(ctl::ExitCode::kFindings);
  }
}
